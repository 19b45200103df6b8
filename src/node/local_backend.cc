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
  afterRestart_ = afterRestart;
}

void LocalBackend::onUnreadableReport(const std::string& what) {
  ++unreadableReports_;
  unreadableReportLog_.write(base::LinePriority::kFailure, [&] { return fmt::format("report rejected: {}", what); });
}

ReportResult LocalBackend::onReport(const BackendReport& report) {
  if (report.incarnation.empty() || hasEnded(endpointOf(report))) return ReportResult::kOutdated;
  if (report.incarnation != current_.incarnation) return onOtherIncarnation(report);
  const bool knownByNameOnly = firstSequence_ == 0;
  if (!knownByNameOnly && report.startedAtMs != current_.startedAtMs) return onOtherStart(report);
  if (report.sequence <= current_.sequence) return ReportResult::kOutdated;
  candidate_.reset();
  if (knownByNameOnly) {
    identifyStart(report);
  } else if (report.draining != current_.draining) {
    log_.info("{} is {} now, sequence {}", endpoint(), report.draining ? "draining" : "live", report.sequence);
  }
  current_ = report;
  suspended_ = false;
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
  if (isSuperseded(report)) return ReportResult::kOutdated;
  const bool confirmed = current_.incarnation.empty() && !afterRestart_;
  if (identityCheck_ && !confirmed) {
    queueForIdentity(report);
    return ReportResult::kPending;
  }
  if (!current_.incarnation.empty()) retire(endpoint());
  activate(report);
  return ReportResult::kAccepted;
}

bool LocalBackend::isSuperseded(const BackendReport& report) const {
  const auto identityReplaced = supersededSequences_.find(endpointOf(report));
  const auto pending = pendingReports_.find(endpointOf(report));
  return (identityReplaced != supersededSequences_.end() && report.sequence <= identityReplaced->second) ||
         (pending != pendingReports_.end() && report.sequence <= pending->second.sequence);
}

void LocalBackend::markSuperseded(const BackendReport& report) {
  if (supersededSequences_.size() >= kMaxOtherIncarnations) supersededSequences_.erase(supersededSequences_.begin());
  supersededSequences_[endpointOf(report)] = report.sequence;
}

void LocalBackend::queueForIdentity(const BackendReport& report) {
  if (pendingReports_.size() >= kMaxOtherIncarnations) pendingReports_.erase(pendingReports_.begin());
  pendingReports_[endpointOf(report)] = report;
  lastPendingEndpoint_ = endpointOf(report);
  if (identityCheckRunning_) return;
  identityCheckRunning_ = true;
  log_.info("report of {} while {} is current: checking the identity of the back end", report.incarnation,
            current_.incarnation);
  identityCheck_([this](const BackendIdentity& identity) { onIdentity(identity); });
}

void LocalBackend::onIdentity(const BackendIdentity& identity) {
  identityCheckRunning_ = false;
  const bool afterRestart = std::exchange(afterRestart_, false);
  const auto pending = std::exchange(pendingReports_, {});
  const bool known = !identity.incarnation.empty();
  std::optional<BackendReport> chosen;
  for (const auto& [endpoint, report] : pending) {
    const bool named = known ? report.incarnation == identity.incarnation : endpoint == lastPendingEndpoint_;
    if (named && (!chosen || report.startedAtMs > chosen->startedAtMs)) chosen = report;
    // The report is late, or its sender has not begun to listen yet: only its newer reports are considered.
    if (!named) markSuperseded(report);
  }
  if (known && identity.incarnation == current_.incarnation) return;
  if (!current_.incarnation.empty() && known) retire(endpoint());
  if (!chosen || hasEnded(endpointOf(*chosen))) return;
  if (!current_.incarnation.empty()) {
    markSuperseded(current_);
    clearCurrent();
  }
  // A drain that a previous process of this node acknowledged must not be undone by a late report.
  if (afterRestart && identity.unavailable) chosen->draining = true;
  activate(*chosen);
}

void LocalBackend::activate(const BackendReport& report) {
  firstSequence_ = report.sequence + 1;  // 0 means "known by name only"
  log_.info("{} is the current back end: version {}, {} slots, {}, sequence {}", endpointOf(report), report.version,
            report.slots, report.draining ? "draining" : "live", report.sequence);
  afterRestart_ = false;
  candidate_.reset();
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
  afterRestart_ = false;
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
  const bool startUnknown = startedAtMs == 0 && incarnation == current_.incarnation;
  if (startUnknown && hadEarlierStart() && identityCheck_) return confirmSignOff();
  const auto left = startUnknown ? endpoint() : endpointNameOf(incarnation, startedAtMs);
  if (!hasEnded(left)) retire(left);
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
