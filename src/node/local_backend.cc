#include "node/local_backend.h"

#include <algorithm>

namespace driftlug::node {
namespace {

constexpr size_t kMaxEnded = 256;

}  // namespace

LocalBackend::LocalBackend(wire::EndpointState place, base::Scheduler& scheduler, EndpointCalls& calls,
                           AnnounceFunction announce, const LocalBackendOptions& options)
    : place_(std::move(place)),
      calls_(calls),
      announce_(std::move(announce)),
      options_(options),
      silenceTimer_(scheduler, [this] { suspend("silent"); }) {}

bool LocalBackend::hasEnded(const std::string& incarnation) const {
  return std::find(ended_.begin(), ended_.end(), incarnation) != ended_.end();
}

ReportVerdict LocalBackend::onReport(const BackendReport& report) {
  if (report.incarnation.empty() || hasEnded(report.incarnation)) return ReportVerdict::kOutdated;
  const bool known = report.incarnation == current_.incarnation;
  if (known && report.sequence <= current_.sequence) return ReportVerdict::kOutdated;
  if (!known) {
    if (!current_.incarnation.empty()) end(current_.incarnation);
    learnedAt_ = report.sequence + 1;  // 0 stands for "by name only"
    log_.info("{} is the back end now: {} slots, {}, sequence {}", report.incarnation, report.slots,
              report.draining ? "draining" : "live", report.sequence);
  } else if (learnedAt_ == 0) {
    // Known only by name so far: its announcement must outdo those of this node's earlier life.
    learnedAt_ = report.sequence + 1;  // 0 stands for "by name only"
    place_.endpoint.clear();
  } else if (report.draining != current_.draining) {
    log_.info("{} is {} now, sequence {}", report.incarnation, report.draining ? "draining" : "live", report.sequence);
  }
  current_ = report;
  suspended_ = false;
  heard();
  apply();
  return ReportVerdict::kTaken;
}

void LocalBackend::heard() {
  unreachable_ = 0;
  silenceTimer_.start(options_.silentFor);
}

void LocalBackend::onContact(bool reached) {
  if (current_.incarnation.empty()) return;
  if (reached) return heard();
  if (++unreachable_ >= options_.unreachableLimit) suspend("out of reach");
}

void LocalBackend::suspend(const char* because) {
  if (suspended_ || current_.incarnation.empty()) return;
  log_.warn("{} is {}: it takes no calls until it reports again", current_.incarnation, because);
  suspended_ = true;
  apply();
}

void LocalBackend::onIdentified(const std::string& incarnation) {
  if (!current_.incarnation.empty() || incarnation.empty() || hasEnded(incarnation)) return;
  learnedAt_ = 0;
  current_ = BackendReport{};
  current_.incarnation = incarnation;
  log_.info("{} is the back end, by its own word when asked", incarnation);
  heard();
  apply();
}

void LocalBackend::apply() {
  const bool draining = current_.draining || stopping_ || suspended_;
  calls_.useIncarnation(current_.incarnation, current_.slots);
  calls_.setDraining(draining);
  announce(draining ? wire::EndpointCondition::DRAINING : wire::EndpointCondition::LIVE);
}

void LocalBackend::announce(wire::EndpointCondition::type condition) {
  if (place_.endpoint == current_.incarnation && condition == announced_) return;
  place_.endpoint = current_.incarnation;
  place_.incarnation = learnedAt_;
  place_.condition = condition;
  place_.slots = current_.slots;
  place_.coldMs = current_.coldMs;
  announced_ = condition;
  announce_(place_);
}

void LocalBackend::end(const std::string& incarnation) {
  ended_.push_back(incarnation);
  if (ended_.size() > kMaxEnded) ended_.pop_front();
  if (incarnation != current_.incarnation) return;
  log_.info("{} has ended", incarnation);
  announce(wire::EndpointCondition::GONE);
  current_ = BackendReport{};
  suspended_ = false;
  silenceTimer_.stop();
  calls_.useIncarnation("", 0);
}

void LocalBackend::onLeave(const std::string& incarnation) {
  if (!hasEnded(incarnation)) end(incarnation);
}

void LocalBackend::setStopping() {
  stopping_ = true;
  if (current_.incarnation.empty()) return calls_.setDraining(true);
  apply();
}

}  // namespace driftlug::node
