#include "node/local_backend.h"

#include <algorithm>
#include <utility>

#include "node/endpoint_name.h"

namespace driftlug::node {
namespace {

constexpr size_t kMaxEnded = 256;
/// Limit of pending and of superseded incarnations: only a few can crash within the seconds by which a report can be
/// late.
constexpr size_t kMaxOtherIncarnations = 16;

std::string endpointOf(const BackendReport& report) { return endpointNameOf(report.incarnation, report.startedAtMs); }

}  // namespace

LocalBackend::LocalBackend(wire::EndpointState endpointState, base::Scheduler& scheduler, EndpointCalls& calls,
                           AnnounceFunction announce, const LocalBackendOptions& options)
    : unreadableReportLog_("backend", scheduler, base::kOneLinePerSecond),
      endpointState_(std::move(endpointState)),
      calls_(calls),
      announce_(std::move(announce)),
      options_(options),
      scheduler_(scheduler),
      identityTimer_(scheduler, [this] { startIdentityCheck(); }),
      silenceTimer_(scheduler, [this] { suspend("silent"); }) {}

bool LocalBackend::hasEnded(const std::string& endpoint) const {
  return std::find(ended_.begin(), ended_.end(), endpoint) != ended_.end();
}

std::string LocalBackend::endpoint() const { return current_.incarnation.empty() ? "" : endpointOf(current_); }

bool LocalBackend::hadEarlierStart() const {
  return std::any_of(ended_.begin(), ended_.end(),
                     [this](const std::string& endpoint) { return backendNameOf(endpoint) == current_.incarnation; });
}

void LocalBackend::setIdentityCheck(IdentityCheck check, bool afterRestart) {
  identityCheck_ = std::move(check);
  if (afterRestart) restartedAt_ = scheduler_.now();
}

/// @return whether reports that were sent to a previous process of this node may still arrive
bool LocalBackend::recentlyRestarted() const {
  return restartedAt_ && scheduler_.inputReadUntil() - *restartedAt_ < options_.maxReportDelay;
}

/// @return whether a report of an incarnation that arrives now may have been sent to a previous process of this node,
/// and the incarnation has not been healthy since
bool LocalBackend::mayPrecedeRestart(const std::string& incarnation) const {
  return recentlyRestarted() && incarnation != healthy_;
}

void LocalBackend::identify() {
  if (identityCheck_ && restartedAt_ && current_.incarnation.empty()) startIdentityCheck();
}

void LocalBackend::onUnreadableReport(const std::string& what) {
  ++unreadableReports_;
  unreadableReportLog_.write(base::LinePriority::kFailure, [&] { return fmt::format("report rejected: {}", what); });
}

ReportResult LocalBackend::onReport(const BackendReport& report) {
  if (report.incarnation.empty() || hasEnded(endpointOf(report))) return ReportResult::kOutdated;
  if (report.incarnation != current_.incarnation) return onOtherIncarnation(report);
  const bool knownByNameOnly = firstSequence_ == 0;
  const bool otherStart = !knownByNameOnly && report.startedAtMs != current_.startedAtMs;
  if (!otherStart && report.sequence <= current_.sequence) return ReportResult::kOutdated;
  if (mayPrecedeRestart(report.incarnation) && !report.draining) return queueForIdentity(report);
  if (otherStart) return onOtherStart(report);
  candidate_.reset();
  if (knownByNameOnly) {
    identifyStart(report);
  } else if (report.draining != current_.draining) {
    log_.info("{} is {} now, sequence {}", endpoint(), report.draining ? "draining" : "live", report.sequence);
  }
  current_ = report;
  suspended_ = false;
  supersedePending();
  recordContact();
  apply();
  return ReportResult::kAccepted;
}

/// Handles the first report of a back end that was known only by its name. The report identifies the start, and its
/// announcement must supersede those of this node's previous process.
void LocalBackend::identifyStart(const BackendReport& report) {
  firstSequence_ = report.sequence + 1;  // 0 means "known by name only"
  if (endpointOf(report) != endpoint()) {
    announce(wire::EndpointCondition::GONE);
    calls_.renameIncarnation(endpointOf(report));
  }
  endpointState_.endpoint.clear();
}

ReportResult LocalBackend::onOtherStart(const BackendReport& report) {
  const bool later = report.startedAtMs > current_.startedAtMs;
  const bool sameCandidate = candidate_ && candidate_->startedAtMs == report.startedAtMs;
  const bool again = sameCandidate && report.sequence > candidate_->sequence && !current_.draining;
  if (later || suspended_ || again) {
    switchToStart(report);
    return ReportResult::kAccepted;
  }
  if (!sameCandidate || report.sequence > candidate_->sequence) candidate_ = report;
  return ReportResult::kUnconfirmed;
}

void LocalBackend::switchToStart(const BackendReport& report) {
  log_.info("{} has restarted, {} ms after its previous start", report.incarnation,
            report.startedAtMs - current_.startedAtMs);
  calls_.onBackendRestarted();
  retire(endpoint());
  activate(report);
}

ReportResult LocalBackend::onOtherIncarnation(const BackendReport& report) {
  const bool confirmed = current_.incarnation.empty() && !mayPrecedeRestart(report.incarnation);
  if (identityCheck_ && !confirmed) return queueForIdentity(report);
  if (isSuperseded(report)) return ReportResult::kOutdated;
  if (!current_.incarnation.empty()) retire(endpoint());
  activate(report);
  return ReportResult::kAccepted;
}

bool LocalBackend::isSuperseded(const BackendReport& report) const {
  const auto name = endpointOf(report);
  const auto replaced = [&](const auto& item) { return item.endpoint == name && report.sequence <= item.sequence; };
  const auto pending = [&](const auto& item) {
    return endpointOf(item.report) == name && report.sequence <= item.report.sequence;
  };
  return std::any_of(superseded_.begin(), superseded_.end(), replaced) ||
         std::any_of(pendingReports_.begin(), pendingReports_.end(), pending);
}

void LocalBackend::markSuperseded(const BackendReport& report) {
  const auto name = endpointOf(report);
  std::erase_if(superseded_, [&](const auto& item) { return item.endpoint == name; });
  superseded_.push_back({name, report.sequence});
  if (superseded_.size() > kMaxOtherIncarnations) superseded_.pop_front();
}

ReportResult LocalBackend::queueForIdentity(const BackendReport& report) {
  if (isSuperseded(report)) return ReportResult::kOutdated;
  const auto name = endpointOf(report);
  std::erase_if(pendingReports_, [&](const auto& item) { return endpointOf(item.report) == name; });
  pendingReports_.push_back({report, mayPrecedeRestart(report.incarnation)});
  if (pendingReports_.size() > kMaxOtherIncarnations) pendingReports_.pop_front();
  log_.info("report of {}, sequence {}, while {} is current: checking the identity of the back end", name,
            report.sequence, current_.incarnation.empty() ? "none" : endpoint());
  startIdentityCheck();
  return ReportResult::kPending;
}

void LocalBackend::startIdentityCheck() {
  if (identityCheckRunning_) return;
  identityTimer_.stop();
  identityCheckRunning_ = true;
  ++identityChecks_;
  identityCheck_([this](const BackendIdentity& identity) { onIdentity(identity); });
}

void LocalBackend::onIdentity(const BackendIdentity& identity) {
  identityCheckRunning_ = false;
  const auto& name = identity.incarnation;
  // A back end that refuses the check for lack of a slot may be leaving.
  const bool stateKnown = identity.healthy || identity.unavailable;
  if (name.empty() || (!stateKnown && mayPrecedeRestart(name))) return onNoIdentity();
  log_.info("the back end is {}, {}, by identity check {}", name,
            identity.healthy ? "healthy" : (identity.unavailable ? "unavailable" : "busy"),
            std::exchange(identityChecks_, 0));
  if (identity.healthy && restartedAt_) healthy_ = name;
  auto chosen = takePending(name);
  supersedePending();
  const bool current = name == current_.incarnation;
  if (!current && !current_.incarnation.empty()) retire(endpoint());
  if (!chosen) return useHealthy();
  if (!mayPrecedeRestart(name)) {
    (void)onReport(*chosen);
  } else if (!current) {
    chosen->draining = true;
    activate(*chosen);
  }
}

/// Handles an identity check that the back end did not answer, or refused for lack of a slot.
void LocalBackend::onNoIdentity() {
  const bool unidentified = current_.incarnation.empty() && healthy_.empty() && recentlyRestarted();
  if (pendingReports_.empty() && !unidentified) return;
  if (identityChecks_ == 1) log_.info("the back end is busy or does not answer: the identity check is repeated");
  const bool unused = current_.incarnation.empty() || suspended_;
  if (!unused || pendingReports_.empty() || pendingReports_.back().mayPrecedeRestart) {
    return identityTimer_.start(options_.identityRetryDelay);
  }
  const auto last = pendingReports_.back().report;
  pendingReports_.pop_back();
  if (!current_.incarnation.empty()) {
    markSuperseded(current_);
    clearCurrent();
  }
  activate(last);
}

/// Uses a healthy back end before its first report.
void LocalBackend::useHealthy() {
  if (hadBackend_ || healthy_.empty()) return;
  if (isOfService_ && isOfService_(healthy_)) onIdentified(healthy_);
}

/// Removes the pending report of the latest start of an incarnation.
std::optional<BackendReport> LocalBackend::takePending(const std::string& incarnation) {
  std::optional<BackendReport> latest;
  for (const auto& pending : pendingReports_) {
    if (pending.report.incarnation != incarnation) continue;
    if (!latest || pending.report.startedAtMs > latest->startedAtMs) latest = pending.report;
  }
  std::erase_if(pendingReports_, [&](const auto& item) { return item.report.incarnation == incarnation; });
  return latest;
}

/// Drops the pending reports: they are late, or their senders have not begun to listen yet.
void LocalBackend::supersedePending() {
  for (const auto& pending : std::exchange(pendingReports_, {})) markSuperseded(pending.report);
  identityTimer_.stop();
  identityChecks_ = 0;
}

void LocalBackend::activate(const BackendReport& report) {
  firstSequence_ = report.sequence + 1;  // 0 means "known by name only"
  log_.info("{} is the current back end: version {}, {} slots, {}, sequence {}", endpointOf(report), report.version,
            report.slots, report.draining ? "draining" : "live", report.sequence);
  supersedePending();
  candidate_.reset();
  hadBackend_ = true;
  current_ = report;
  leaving_ = false;
  suspended_ = false;
  recordContact();
  apply();
}

void LocalBackend::recordContact() {
  failedConnections_ = 0;
  silenceTimer_.start(options_.silenceTimeout);
}

void LocalBackend::onContact(bool reached) {
  if (current_.incarnation.empty()) return;
  if (reached) return recordContact();
  if (++failedConnections_ >= options_.maxFailedConnections) suspend("unreachable");
}

void LocalBackend::suspend(const char* cause) {
  if (suspended_ || current_.incarnation.empty()) return;
  log_.warn("{} is {}: it gets no calls until its next report", current_.incarnation, cause);
  suspended_ = true;
  apply();
}

void LocalBackend::onIdentified(const std::string& incarnation) {
  if (!current_.incarnation.empty() || incarnation.empty()) return;
  // The start is ambiguous once one start of this name has ended.
  const auto sameName = [&](const std::string& ended) { return backendNameOf(ended) == incarnation; };
  if (std::any_of(ended_.begin(), ended_.end(), sameName)) return;
  firstSequence_ = 0;
  hadBackend_ = true;
  healthy_ = incarnation;
  current_ = BackendReport{};
  current_.incarnation = incarnation;
  log_.info("{} is the back end, by its answer to the identity check", incarnation);
  recordContact();
  apply();
}

void LocalBackend::apply() {
  const bool backendStopping = current_.draining || leaving_;
  const bool draining = backendStopping || stopping_ || suspended_ || signOffUnconfirmed_;
  calls_.useVersion(current_.version);
  calls_.useIncarnation(endpoint(), current_.slots);
  if (onBackend_) onBackend_(endpoint(), current_);
  calls_.setBackendStopping(backendStopping);
  calls_.setDraining(draining);
  announce(draining ? wire::EndpointCondition::DRAINING : wire::EndpointCondition::LIVE);
}

void LocalBackend::announce(wire::EndpointCondition::type condition) {
  const bool known = endpointState_.endpoint == endpoint() && endpointState_.version == current_.version;
  if (known && condition == announced_) return;
  endpointState_.endpoint = endpoint();
  endpointState_.incarnation = firstSequence_;
  endpointState_.condition = condition;
  endpointState_.slots = current_.slots;
  endpointState_.coldMs = current_.coldMs;
  endpointState_.version = current_.version;
  announced_ = condition;
  announce_(endpointState_);
}

void LocalBackend::retire(const std::string& endpoint) {
  const bool current = endpoint == this->endpoint();
  ended_.push_back(endpoint);
  if (ended_.size() > kMaxEnded) ended_.pop_front();
  std::erase_if(pendingReports_, [&](const auto& item) { return endpointOf(item.report) == endpoint; });
  if (!current) return;
  log_.info("{} has ended", endpoint);
  clearCurrent();
}

void LocalBackend::clearCurrent() {
  announce(wire::EndpointCondition::GONE);
  current_ = BackendReport{};
  candidate_.reset();
  leaving_ = false;
  suspended_ = false;
  signOffUnconfirmed_ = false;
  silenceTimer_.stop();
  calls_.setBackendStopping(true);
  calls_.useIncarnation("", 0);
  if (onBackend_) onBackend_("", current_);
}

void LocalBackend::onSignOff(const std::string& incarnation, int64_t startedAtMs) {
  const bool current = incarnation == current_.incarnation;
  const bool startUnknown = current && startedAtMs == 0;
  if (startUnknown && hadEarlierStart() && identityCheck_) return confirmSignOff();
  const auto left = startUnknown ? endpoint() : endpointNameOf(incarnation, startedAtMs);
  if (!hasEnded(left)) retire(left);
  // A back end that is known only by this name may be the start that signs off, or a later one.
  const bool knownByNameOnly = !current_.incarnation.empty() && firstSequence_ == 0;
  if (current && knownByNameOnly && identityCheck_) confirmSignOff();
}

/// The sign-off may be a late one of an earlier start. The back end gets no calls until it has answered.
void LocalBackend::confirmSignOff() {
  if (signOffUnconfirmed_) return;
  signOffUnconfirmed_ = true;
  apply();
  identityCheck_([this, asked = endpoint()](const BackendIdentity& identity) {
    if (!signOffUnconfirmed_ || asked != endpoint()) return;
    signOffUnconfirmed_ = false;
    if (identity.healthy && identity.incarnation == current_.incarnation) return apply();
    retire(asked);
  });
}

void LocalBackend::onWrongEndpoint(const std::string& endpoint) {
  const bool current = endpoint == this->endpoint() || endpoint == current_.incarnation;
  if (current && !current_.incarnation.empty()) return retire(this->endpoint());
  if (!hasEnded(endpoint)) retire(endpoint);
}

void LocalBackend::onLeaving(const std::string& endpoint) {
  const bool current = endpoint == this->endpoint() || endpoint == current_.incarnation;
  if (leaving_ || !current || current_.incarnation.empty()) return;
  log_.info("{} says in a response that it is leaving: it gets no more calls", endpoint);
  leaving_ = true;
  apply();
}

void LocalBackend::setStopping() {
  stopping_ = true;
  if (current_.incarnation.empty()) return calls_.setDraining(true);
  apply();
}

}  // namespace driftlug::node
