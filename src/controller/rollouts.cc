#include "controller/rollouts.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "controller/controller.h"

namespace driftlug::controller {
namespace {

using base::ErrorCode;
using rollout::policyOf;
using wire::RolloutState;

constexpr char kAuthor[] = "rollout";
/// Time without a report after which an endpoint counts as gone: several reports are missing by then, and the lease of
/// an endpoint whose node was lost has expired.
constexpr base::Duration kEndpointReportTimeout = base::milliseconds(2500);
/// Time after a rollback within which an identical order or an abort is treated as a retry after a lost response.
constexpr base::Duration kResendWindow = base::seconds(10);
/// Number of retries of an order whose row was changed concurrently.
constexpr int kMaxConflicts = 3;

table::RowKey keyOf(const std::string& service) { return table::makeKey(wire::RowKind::ROLLOUT, service); }

RolloutAnswer refused(ErrorCode code, const std::string& message) { return {code, message}; }

const char* nameOf(RolloutState::type state) {
  switch (state) {
    case RolloutState::STANDING:
      return "standing";
    case RolloutState::RUNNING:
      return "running";
    case RolloutState::COMPLETED:
      return "completed";
    case RolloutState::ROLLED_BACK:
      return "rolled_back";
  }
  return "unknown";
}

}  // namespace

Rollouts::Rollouts(Controller& controller, base::Scheduler& scheduler, const rollout::exposure_limit& exposure)
    : controller_(controller), scheduler_(scheduler), driver_(exposure) {}

Rollouts::~Rollouts() { *alive_ = false; }

std::shared_ptr<const wire::Row> Rollouts::rowOf(const std::string& service) const {
  return controller_.state().table().find(keyOf(service));
}

rollout::version_verdict Rollouts::verdictOf(const std::string& service) const {
  const auto found = running_.find(service);
  const auto row = rowOf(service);
  if (found == running_.end() || !row) return {};
  return found->second.evidence.evaluate(policyOf(row->rolloutRow));
}

base::Duration Rollouts::elapsed(const std::string& service) const {
  const auto found = running_.find(service);
  const auto row = rowOf(service);
  return found == running_.end() || !row ? base::Duration(0) : elapsedOf(row->rolloutRow, found->second);
}

void Rollouts::track(const wire::Row& row) {
  const auto& service = row.key.name;
  if (row.rolloutRow.state != RolloutState::RUNNING) {
    running_.erase(service);
    return;
  }
  auto& running = running_.try_emplace(service, scheduler_).first->second;
  if (running.revision == row.revision) return;
  running.revision = row.revision;
  running.writtenAt = scheduler_.now();
}

void Rollouts::onApplied(const std::string& service) {
  const auto row = rowOf(service);
  if (!row) return;
  track(*row);
  // Rollbacks that are replayed at startup, before this controller leads, are not recent.
  if (row->rolloutRow.state == RolloutState::ROLLED_BACK && controller_.leads()) {
    rolledBackAt_[service] = scheduler_.now();
  }
}

void Rollouts::onRestored() {
  running_.clear();
  for (const auto& [key, row] : controller_.state().table().rows()) {
    if (row->__isset.rolloutRow) track(*row);
  }
}

void Rollouts::onLeadership() {
  leaderSince_ = scheduler_.now();
  for (auto& [service, running] : running_) {
    running.evidence.clear();
    running.submitting = false;
  }
}

void Rollouts::onReports(const wire::VersionReports& reports) {
  for (const auto& report : reports.reports) {
    const auto running = running_.find(report.serviceName);
    if (running == running_.end()) continue;
    const auto row = rowOf(report.serviceName);
    if (!row) continue;
    ++counters_.reports;
    running->second.evidence.onReport(report, policyOf(row->rolloutRow));
  }
}

void Rollouts::onSeenVersions(const wire::SeenVersions& seen) {
  std::map<std::string, const wire::SeenVersion*> mostSeen;
  for (const auto& version : seen.versions) {
    auto& known = mostSeen[version.serviceName];
    if (known == nullptr || version.endpoints > known->endpoints) known = &version;
  }
  for (const auto& item : mostSeen) {
    const auto& service = item.first;
    const auto* version = item.second;
    const auto serviceKey = table::makeKey(wire::RowKind::SERVICE, service);
    const bool isNew = !rowOf(service) && pendingInitialRows_.count(service) == 0;
    if (version->version.empty() || !isNew || !controller_.state().table().find(serviceKey)) continue;
    wire::RolloutRow row;
    row.standing = version->version;
    row.state = RolloutState::STANDING;
    log_.info("service={} version={} becomes the standing version: reported by {} endpoints, no earlier order", service,
              version->version, version->endpoints);
    pendingInitialRows_.insert(service);
    submit(service, row, 0, "standing", [this, service](ErrorCode) { pendingInitialRows_.erase(service); });
  }
}

void Rollouts::submit(const std::string& service, wire::RolloutRow row, int64_t expectedRevision,
                      const std::string& stepName, const std::function<void(ErrorCode)>& done) {
  wire::Mutation mutation;
  mutation.row.key = keyOf(service);
  mutation.row.__isset.rolloutRow = true;
  mutation.row.rolloutRow = std::move(row);
  mutation.expectedRevision = expectedRevision;
  wire::EditCommand edit;
  // Each step is based on one revision of the row, which makes its request id unique. The term is included because a
  // controller that is elected again may decide differently for the same row revision.
  edit.requestId =
      absl::StrCat("rollout-", service, "-", expectedRevision, "-", controller_.raft().term(), "-", stepName);
  edit.author = kAuthor;
  edit.baseRevision = controller_.state().table().revision();
  edit.mutations.push_back(std::move(mutation));
  controller_.submitEdit(std::move(edit), [alive = std::weak_ptr<bool>(alive_), done](const EditAnswer& answer) {
    if (!alive.expired()) done(answer.code);
  });
}

void Rollouts::order(const RolloutOrder& order, RolloutCallback done) {
  if (!controller_.leads()) return done(refused(ErrorCode::kNotLeader, "another controller leads, or none does"));
  controller_.confirmLeadership([this, alive = std::weak_ptr<bool>(alive_), order, done](bool confirmed) {
    if (alive.expired()) return;
    if (!confirmed) return done(refused(ErrorCode::kOutcomeUnknown, "send the order again"));
    decide(order, done, kMaxConflicts);
  });
}

void Rollouts::decide(const RolloutOrder& order, const RolloutCallback& done, int conflictsLeft) {
  const auto& table = controller_.state().table();
  if (!table.find(table::makeKey(wire::RowKind::SERVICE, order.service))) {
    return done(refused(ErrorCode::kInvalidEdit, "there is no such service"));
  }
  const auto row = rowOf(order.service);
  if (!row) return done(refused(ErrorCode::kNotAccepted, "no endpoint of the service has told its version yet"));
  const auto& current = row->rolloutRow;
  const bool same = current.target == order.target;
  if (current.state == RolloutState::RUNNING) {
    if (same) return done({});
    return done(refused(ErrorCode::kRevisionConflict, absl::StrCat("an order for ", current.target, " is under way")));
  }
  if (current.state == RolloutState::COMPLETED && current.standing == order.target) return done({});
  if (same && recentlyRolledBack(order.service, current)) return done({});
  auto next = rollout::rollout_driver::begin(current, order.target, order.finishBy);
  if (current.standing == order.target) next.state = RolloutState::COMPLETED;  // already the standing version
  const auto service = order.service;
  submit(service, next, row->revision, absl::StrCat("order-", order.target),
         [this, order, done, conflictsLeft, service](ErrorCode code) {
           if (code == ErrorCode::kRevisionConflict && conflictsLeft > 0) return decide(order, done, conflictsLeft - 1);
           if (code == ErrorCode::kNone) {
             ++counters_.begun;
             log_.info("service={} order accepted: version={} finish_by_ms={} revision={}", service, order.target,
                       order.finishBy / base::milliseconds(1), controller_.state().table().revision());
           }
           done({code, code == ErrorCode::kNone ? "" : "the order was not accepted"});
         });
}

void Rollouts::abort(const std::string& service, RolloutCallback done) {
  if (!controller_.leads()) return done(refused(ErrorCode::kNotLeader, "another controller leads, or none does"));
  const auto row = rowOf(service);
  const auto running = running_.find(service);
  if (row && recentlyRolledBack(service, row->rolloutRow)) return done({});
  if (!row || running == running_.end()) return done(refused(ErrorCode::kRowNotFound, "no order is under way"));
  const auto elapsed = elapsedOf(row->rolloutRow, running->second);
  auto next = rollout::rollout_driver::rollBack(row->rolloutRow, elapsed, "an operator took it back");
  submit(service, std::move(next), row->revision, "abort", [this, service, done](ErrorCode code) {
    if (code == ErrorCode::kNone) log_.info("service={} order rolled back by an operator", service);
    done({code, code == ErrorCode::kNone ? "" : "a step was taken meanwhile, or nobody agreed; try again"});
  });
}

bool Rollouts::recentlyRolledBack(const std::string& service, const wire::RolloutRow& row) const {
  const auto ended = rolledBackAt_.find(service);
  const bool recent = ended != rolledBackAt_.end() && scheduler_.now() - ended->second < kResendWindow;
  return row.state == RolloutState::ROLLED_BACK && recent;
}

base::Duration Rollouts::elapsedOf(const wire::RolloutRow& row, const Running& running) const {
  return base::milliseconds(row.elapsedMs) + (scheduler_.now() - running.writtenAt);
}

rollout::rollout_situation Rollouts::situationOf(const wire::Row& row, const Running& running) const {
  const auto now = scheduler_.now();
  const auto& current = row.rolloutRow;
  rollout::rollout_situation situation;
  situation.elapsed = elapsedOf(current, running);
  situation.stepAge = now - running.writtenAt;
  situation.leadershipAge = now - leaderSince_;
  situation.p99RunTime = running.evidence.p99RunTime();
  situation.answersPerSecond = running.evidence.answersPerSecond();
  situation.verdict = running.evidence.evaluate(policyOf(current));
  for (const auto& [name, report] : running.evidence.reportsOf(current.target, kEndpointReportTimeout)) {
    ++situation.target.count;
    situation.target.slots += report.slots;
    situation.target.active += report.active;
  }
  situation.standingIdle = true;
  for (const auto& [name, report] : running.evidence.reportsOf(current.standing, kEndpointReportTimeout)) {
    ++situation.standing.count;
    situation.standing.slots += report.slots;
    situation.standing.active += report.active;
    if (report.revision < row.revision || report.active > 0) situation.standingIdle = false;
  }
  situation.inForceEverywhere = controller_.convergence().inForceEverywhere(row.revision);
  situation.nodes = controller_.convergence().attachedNodes();
  return situation;
}

void Rollouts::tick() {
  std::vector<std::string> services;
  for (const auto& [service, running] : running_) services.push_back(service);
  for (const auto& service : services) {
    // A step that completes synchronously may end an order and remove its entry.
    if (const auto found = running_.find(service); found != running_.end()) step(service, &found->second);
  }
}

void Rollouts::step(const std::string& service, Running* running) {
  const auto row = rowOf(service);
  if (!row || running->submitting) return;
  const auto situation = situationOf(*row, *running);
  auto next = driver_.next(row->rolloutRow, situation);
  if (!next) return;
  logDecision(*next, service, situation);
  running->submitting = true;
  const auto stepName = absl::StrCat(nameOf(next->state), "-", next->targetPermille, next->retiring ? "-retiring" : "");
  const auto state = next->state;
  submit(service, std::move(*next), row->revision, stepName, [this, service, state](ErrorCode code) {
    const auto found = running_.find(service);
    if (found != running_.end()) found->second.submitting = false;
    if (code != ErrorCode::kNone) {
      return log_.warn("service={} step not taken: {}", service, base::errorName(code));
    }
    ++counters_.steps;
    if (state == RolloutState::COMPLETED) ++counters_.completed;
    if (state == RolloutState::ROLLED_BACK) ++counters_.rolledBack;
  });
}

void Rollouts::logDecision(const wire::RolloutRow& row, const std::string& service,
                           const rollout::rollout_situation& situation) {
  const auto& verdict = situation.verdict;
  log_.info(
      "service={} version={} state={} permille={} group={}+{} retiring={} elapsed_ms={} finish_by_ms={} "
      "endpoints={} slots={} standing_endpoints={} standing_slots={} standing_active={} answers_per_s={:.0f} tried={} "
      "strength={:.2f} why={}",
      service, row.target, nameOf(row.state), row.targetPermille, row.groupOffset, row.groupSize, row.retiring,
      row.elapsedMs, row.finishByMs, situation.target.count, situation.target.slots, situation.standing.count,
      situation.standing.slots, situation.standing.active, situation.answersPerSecond, verdict.testedEndpoints,
      verdict.strength, row.reason.empty() ? verdict.reason : row.reason);
}

}  // namespace driftlug::controller
