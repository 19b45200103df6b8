#include "node/local_backend.h"

#include <algorithm>
#include <utility>

namespace driftlug::node {
namespace {

constexpr size_t kMaxEnded = 256;
/// Incarnations that may wait for the back end's word, or have given way: a few crash within the seconds for which a
/// report can be late.
constexpr size_t kMaxOthers = 16;

}  // namespace

LocalBackend::LocalBackend(wire::EndpointState place, base::Scheduler& scheduler, EndpointCalls& calls,
                           AnnounceFunction announce, const LocalBackendOptions& options)
    : unreadable_("backend", scheduler, base::kOneLineASecond),
      place_(std::move(place)),
      calls_(calls),
      announce_(std::move(announce)),
      options_(options),
      silenceTimer_(scheduler, [this] { suspend("silent"); }) {}

bool LocalBackend::hasEnded(const std::string& incarnation) const {
  return std::find(ended_.begin(), ended_.end(), incarnation) != ended_.end();
}

void LocalBackend::setIdentityCheck(IdentityCheck check, bool afterRestart) {
  askIdentity_ = std::move(check);
  afterRestart_ = afterRestart;
}

void LocalBackend::onUnreadableReport(const std::string& what) {
  ++unreadableReports_;
  unreadable_.write(base::LineWorth::kFailure, [&] { return fmt::format("a report is refused: {}", what); });
}

ReportVerdict LocalBackend::onReport(const BackendReport& report) {
  if (report.incarnation.empty() || hasEnded(report.incarnation)) return ReportVerdict::kOutdated;
  if (report.incarnation != current_.incarnation) return onOther(report);
  if (report.sequence <= current_.sequence) return ReportVerdict::kOutdated;
  if (learnedAt_ == 0) {
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

ReportVerdict LocalBackend::onOther(const BackendReport& report) {
  if (isPassed(report)) return ReportVerdict::kOutdated;
  const bool sure = current_.incarnation.empty() && !afterRestart_;
  if (askIdentity_ && !sure) {
    hold(report);
    return ReportVerdict::kHeld;
  }
  if (!current_.incarnation.empty()) end(current_.incarnation);
  take(report);
  return ReportVerdict::kTaken;
}

bool LocalBackend::isPassed(const BackendReport& report) const {
  const auto passed = passed_.find(report.incarnation);
  const auto held = held_.find(report.incarnation);
  return (passed != passed_.end() && report.sequence <= passed->second) ||
         (held != held_.end() && report.sequence <= held->second.sequence);
}

void LocalBackend::pass(const BackendReport& report) {
  if (passed_.size() >= kMaxOthers) passed_.erase(passed_.begin());
  passed_[report.incarnation] = report.sequence;
}

void LocalBackend::hold(const BackendReport& report) {
  if (held_.size() >= kMaxOthers) held_.erase(held_.begin());
  held_[report.incarnation] = report;
  lastHeld_ = report.incarnation;
  if (asking_) return;
  asking_ = true;
  log_.info("{} reports beside {}: the back end is asked who it is", report.incarnation, current_.incarnation);
  askIdentity_([this](const BackendIdentity& identity) { onAnswer(identity); });
}

void LocalBackend::onAnswer(const BackendIdentity& identity) {
  asking_ = false;
  const bool afterRestart = std::exchange(afterRestart_, false);
  auto held = std::exchange(held_, {});
  const bool known = !identity.incarnation.empty();
  const auto& chosen = known ? identity.incarnation : lastHeld_;
  // A name that is not the back end's is late, or was given before its bearer has begun to listen: only what it reports
  // from now on is heeded.
  for (const auto& [incarnation, report] : held) {
    if (incarnation != chosen) pass(report);
  }
  if (chosen == current_.incarnation) return;
  if (!current_.incarnation.empty() && known) end(current_.incarnation);
  const auto report = held.find(chosen);
  if (report == held.end() || hasEnded(chosen)) return;
  if (!current_.incarnation.empty()) {
    pass(current_);
    leave();
  }
  // What an earlier life of this node acknowledged as draining gets no calls for a late report.
  if (afterRestart && identity.leaving) report->second.draining = true;
  take(report->second);
}

void LocalBackend::take(const BackendReport& report) {
  learnedAt_ = report.sequence + 1;  // 0 stands for "by name only"
  log_.info("{} is the back end now: {} slots, {}, sequence {}", report.incarnation, report.slots,
            report.draining ? "draining" : "live", report.sequence);
  afterRestart_ = false;
  current_ = report;
  suspended_ = false;
  heard();
  apply();
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
  afterRestart_ = false;
  current_ = BackendReport{};
  current_.incarnation = incarnation;
  log_.info("{} is the back end, by its own word when asked", incarnation);
  heard();
  apply();
}

void LocalBackend::apply() {
  const bool draining = current_.draining || stopping_ || suspended_;
  calls_.useIncarnation(current_.incarnation, current_.slots);
  calls_.setLeaving(current_.draining);
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
  leave();
}

void LocalBackend::leave() {
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
