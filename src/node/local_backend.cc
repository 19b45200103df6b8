#include "node/local_backend.h"

#include <algorithm>
#include <utility>

#include "node/backend_life.h"

namespace driftlug::node {
namespace {

constexpr size_t kMaxEnded = 256;
/// Incarnations that may wait for the back end's word, or have given way: a few crash within the seconds for which a
/// report can be late.
constexpr size_t kMaxOthers = 16;

std::string endpointOf(const BackendReport& report) { return endpointNameOf(report.incarnation, report.startedAtMs); }

}  // namespace

LocalBackend::LocalBackend(wire::EndpointState place, base::Scheduler& scheduler, EndpointCalls& calls,
                           AnnounceFunction announce, const LocalBackendOptions& options)
    : unreadable_("backend", scheduler, base::kOneLinePerSecond),
      place_(std::move(place)),
      calls_(calls),
      announce_(std::move(announce)),
      options_(options),
      silenceTimer_(scheduler, [this] { suspend("silent"); }) {}

bool LocalBackend::hasEnded(const std::string& endpoint) const {
  return std::find(ended_.begin(), ended_.end(), endpoint) != ended_.end();
}

std::string LocalBackend::endpoint() const { return current_.incarnation.empty() ? "" : endpointOf(current_); }

bool LocalBackend::hadEarlierLife() const {
  return std::any_of(ended_.begin(), ended_.end(),
                     [this](const std::string& endpoint) { return backendNameOf(endpoint) == current_.incarnation; });
}

void LocalBackend::setIdentityCheck(IdentityCheck check, bool afterRestart) {
  askIdentity_ = std::move(check);
  afterRestart_ = afterRestart;
}

void LocalBackend::onUnreadableReport(const std::string& what) {
  ++unreadableReports_;
  unreadable_.write(base::LinePriority::kFailure, [&] { return fmt::format("a report is refused: {}", what); });
}

ReportVerdict LocalBackend::onReport(const BackendReport& report) {
  if (report.incarnation.empty() || hasEnded(endpointOf(report))) return ReportVerdict::kOutdated;
  if (report.incarnation != current_.incarnation) return onOther(report);
  const bool byName = learnedAt_ == 0;
  if (!byName && report.startedAtMs != current_.startedAtMs) return onOtherLife(report);
  if (report.sequence <= current_.sequence) return ReportVerdict::kOutdated;
  candidate_.reset();
  if (byName) {
    nameAnew(report);
  } else if (report.draining != current_.draining) {
    log_.info("{} is {} now, sequence {}", endpoint(), report.draining ? "draining" : "live", report.sequence);
  }
  current_ = report;
  suspended_ = false;
  heard();
  apply();
  return ReportVerdict::kTaken;
}

/// The first report of a back end that was known only by its name: its announcement must outdo those of this node's
/// earlier life, and says which of its lives it is.
void LocalBackend::nameAnew(const BackendReport& report) {
  learnedAt_ = report.sequence + 1;  // 0 stands for "by name only"
  if (endpointOf(report) != endpoint()) {
    announce(wire::EndpointCondition::GONE);
    calls_.renameIncarnation(endpointOf(report));
  }
  place_.endpoint.clear();
}

ReportVerdict LocalBackend::onOtherLife(const BackendReport& report) {
  const bool later = report.startedAtMs > current_.startedAtMs;
  const bool sameCandidate = candidate_ && candidate_->startedAtMs == report.startedAtMs;
  const bool again = sameCandidate && report.sequence > candidate_->sequence && !current_.draining;
  if (later || suspended_ || again) {
    beginLife(report);
    return ReportVerdict::kTaken;
  }
  if (!sameCandidate || report.sequence > candidate_->sequence) candidate_ = report;
  return ReportVerdict::kDoubtful;
}

void LocalBackend::beginLife(const BackendReport& report) {
  log_.info("{} has started again, {} ms after the start of its life before", report.incarnation,
            report.startedAtMs - current_.startedAtMs);
  calls_.onBackendRestarted();
  end(endpoint());
  take(report);
}

ReportVerdict LocalBackend::onOther(const BackendReport& report) {
  if (isPassed(report)) return ReportVerdict::kOutdated;
  const bool sure = current_.incarnation.empty() && !afterRestart_;
  if (askIdentity_ && !sure) {
    hold(report);
    return ReportVerdict::kHeld;
  }
  if (!current_.incarnation.empty()) end(endpoint());
  take(report);
  return ReportVerdict::kTaken;
}

bool LocalBackend::isPassed(const BackendReport& report) const {
  const auto passed = passed_.find(endpointOf(report));
  const auto held = held_.find(endpointOf(report));
  return (passed != passed_.end() && report.sequence <= passed->second) ||
         (held != held_.end() && report.sequence <= held->second.sequence);
}

void LocalBackend::pass(const BackendReport& report) {
  if (passed_.size() >= kMaxOthers) passed_.erase(passed_.begin());
  passed_[endpointOf(report)] = report.sequence;
}

void LocalBackend::hold(const BackendReport& report) {
  if (held_.size() >= kMaxOthers) held_.erase(held_.begin());
  held_[endpointOf(report)] = report;
  lastHeld_ = endpointOf(report);
  if (asking_) return;
  asking_ = true;
  log_.info("{} reports beside {}: the back end is asked who it is", report.incarnation, current_.incarnation);
  askIdentity_([this](const BackendIdentity& identity) { onAnswer(identity); });
}

void LocalBackend::onAnswer(const BackendIdentity& identity) {
  asking_ = false;
  const bool afterRestart = std::exchange(afterRestart_, false);
  const auto held = std::exchange(held_, {});
  const bool known = !identity.incarnation.empty();
  std::optional<BackendReport> chosen;
  for (const auto& [endpoint, report] : held) {
    const bool named = known ? report.incarnation == identity.incarnation : endpoint == lastHeld_;
    if (named && (!chosen || report.startedAtMs > chosen->startedAtMs)) chosen = report;
    // A name that is not the back end's is late, or was given before its bearer has begun to listen: only what it
    // reports from now on is heeded.
    if (!named) pass(report);
  }
  if (known && identity.incarnation == current_.incarnation) return;
  if (!current_.incarnation.empty() && known) end(endpoint());
  if (!chosen || hasEnded(endpointOf(*chosen))) return;
  if (!current_.incarnation.empty()) {
    pass(current_);
    leave();
  }
  // What an earlier life of this node acknowledged as draining gets no calls for a late report.
  if (afterRestart && identity.leaving) chosen->draining = true;
  take(*chosen);
}

void LocalBackend::take(const BackendReport& report) {
  learnedAt_ = report.sequence + 1;  // 0 stands for "by name only"
  log_.info("{} is the back end now: version {}, {} slots, {}, sequence {}", endpointOf(report), report.version,
            report.slots, report.draining ? "draining" : "live", report.sequence);
  afterRestart_ = false;
  candidate_.reset();
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
  if (!current_.incarnation.empty() || incarnation.empty()) return;
  // Which of its lives it is can't be told once one of them has ended.
  const auto sameName = [&](const std::string& ended) { return backendNameOf(ended) == incarnation; };
  if (std::any_of(ended_.begin(), ended_.end(), sameName)) return;
  learnedAt_ = 0;
  afterRestart_ = false;
  current_ = BackendReport{};
  current_.incarnation = incarnation;
  log_.info("{} is the back end, by its own word when asked", incarnation);
  heard();
  apply();
}

void LocalBackend::apply() {
  const bool draining = current_.draining || stopping_ || suspended_ || mayLeave_;
  calls_.useVersion(current_.version);
  calls_.useIncarnation(endpoint(), current_.slots);
  if (onBackend_) onBackend_(endpoint(), current_);
  calls_.setLeaving(current_.draining);
  calls_.setDraining(draining);
  announce(draining ? wire::EndpointCondition::DRAINING : wire::EndpointCondition::LIVE);
}

void LocalBackend::announce(wire::EndpointCondition::type condition) {
  const bool known = place_.endpoint == endpoint() && place_.version == current_.version;
  if (known && condition == announced_) return;
  place_.endpoint = endpoint();
  place_.incarnation = learnedAt_;
  place_.condition = condition;
  place_.slots = current_.slots;
  place_.coldMs = current_.coldMs;
  place_.version = current_.version;
  announced_ = condition;
  announce_(place_);
}

void LocalBackend::end(const std::string& endpoint) {
  const bool current = endpoint == this->endpoint();
  ended_.push_back(endpoint);
  if (ended_.size() > kMaxEnded) ended_.pop_front();
  if (!current) return;
  log_.info("{} has ended", endpoint);
  leave();
}

void LocalBackend::leave() {
  announce(wire::EndpointCondition::GONE);
  current_ = BackendReport{};
  candidate_.reset();
  suspended_ = false;
  mayLeave_ = false;
  silenceTimer_.stop();
  calls_.setLeaving(true);
  calls_.useIncarnation("", 0);
  if (onBackend_) onBackend_("", current_);
}

void LocalBackend::onLeave(const std::string& incarnation, int64_t startedAtMs) {
  const bool ofSomeLife = startedAtMs == 0 && incarnation == current_.incarnation;
  if (ofSomeLife && hadEarlierLife() && askIdentity_) return askWhetherItLeaves();
  const auto left = ofSomeLife ? endpoint() : endpointNameOf(incarnation, startedAtMs);
  if (!hasEnded(left)) end(left);
}

/// The farewell may be a late one of an earlier life. Until the back end has said how it is, it gets no calls.
void LocalBackend::askWhetherItLeaves() {
  if (mayLeave_) return;
  mayLeave_ = true;
  apply();
  askIdentity_([this, asked = endpoint()](const BackendIdentity& identity) {
    if (!mayLeave_ || asked != endpoint()) return;
    mayLeave_ = false;
    if (identity.well && identity.incarnation == current_.incarnation) return apply();
    end(asked);
  });
}

void LocalBackend::onWrongEndpoint(const std::string& endpoint) {
  const bool current = endpoint == this->endpoint() || endpoint == current_.incarnation;
  if (current && !current_.incarnation.empty()) return end(this->endpoint());
  if (!hasEnded(endpoint)) end(endpoint);
}

void LocalBackend::setStopping() {
  stopping_ = true;
  if (current_.incarnation.empty()) return calls_.setDraining(true);
  apply();
}

}  // namespace driftlug::node
