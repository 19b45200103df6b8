/// Orders to move a service to another version, as the leading controller carries them out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/error.h"
#include "base/log.h"
#include "base/time.h"
#include "rollout/rollout_driver.h"
#include "rollout/version_evidence.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::controller {

class Controller;

/// An order of an operator.
struct RolloutOrder {
  std::string service;
  std::string target;
  base::Duration finishBy{0};
};

/// Answer to an order.
struct RolloutAnswer {
  base::ErrorCode code = base::ErrorCode::kNone;
  std::string message;  ///< why it was refused; empty when it was accepted
};

using RolloutCallback = std::function<void(const RolloutAnswer&)>;

/// Counts of what became of orders while this controller led.
struct RolloutCounters {
  int64_t begun = 0;
  int64_t completed = 0;
  int64_t rolledBack = 0;
  int64_t steps = 0;
  int64_t reports = 0;
};

/// Writes the rows of orders, one edit a step, each guarded by the revision of the row that it follows; so two leaders,
/// or an operator beside them, never undo each other's steps. All else is soft state of the leader.
///
/// Invariants: an order is answered as accepted only when its row is committed; a service has one order under way at
/// the most; only rows that are RUNNING cost anything.
class Rollouts {
 public:
  Rollouts(Controller& controller, base::Scheduler& scheduler, const rollout::exposure_limit& exposure);
  ~Rollouts();

  /// Takes an order. The callback gets kNone, also for the order that is under way or was completed last; kInvalidEdit,
  /// kRevisionConflict when another one is under way, kNotLeader, kNotAccepted or kOutcomeUnknown.
  void order(const RolloutOrder& order, RolloutCallback done);

  /// Takes the order under way back. The callback gets kNone, also when it was rolled back just now, kRowNotFound when
  /// none is, or as with order().
  void abort(const std::string& service, RolloutCallback done);

  /// @return the row of a service, or null.
  std::shared_ptr<const wire::Row> rowOf(const std::string& service) const;

  /// @return how the version on trial looks; only on the leader.
  rollout::version_verdict verdictOf(const std::string& service) const;

  /// @return the time since an order that is under way was accepted; 0 for others.
  base::Duration elapsed(const std::string& service) const;

  /// What nodes tell of endpoints.
  void onReports(const wire::VersionReports& reports);

  /// What relays see of services without a row: the version that most endpoints tell stands.
  void onSeenVersions(const wire::SeenVersions& seen);

  /// The row of a service was committed, here as on every controller.
  void onApplied(const std::string& service);

  /// The table was replaced as a whole.
  void onRestored();

  /// This controller began to lead, or does no more.
  void onLeadership();

  /// Takes the steps that are due; called some times a second.
  void tick();

  const RolloutCounters& counters() const { return counters_; }

  /// @return services with an order under way.
  size_t running() const { return running_.size(); }

 private:
  /// An order under way.
  struct Running {
    int64_t revision = 0;         // of its row
    base::TimePoint writtenAt{};  // when its row was committed, as seen here
    bool submitting = false;
    rollout::version_evidence evidence;

    explicit Running(const base::TimeSource& time) : evidence(time) {}
  };

  void track(const wire::Row& row);
  void decide(const RolloutOrder& order, const RolloutCallback& done, int conflictsLeft);
  void submit(const std::string& service, wire::RolloutRow row, int64_t expectedRevision, const std::string& why,
              const std::function<void(base::ErrorCode)>& done);
  void step(const std::string& service, Running* running);
  bool recentlyRolledBack(const std::string& service, const wire::RolloutRow& row) const;
  base::Duration elapsedOf(const wire::RolloutRow& row, const Running& running) const;
  rollout::rollout_situation situationOf(const wire::Row& row, const Running& running) const;
  void logDecision(const wire::RolloutRow& row, const std::string& service,
                   const rollout::rollout_situation& situation);

  Controller& controller_;
  base::Scheduler& scheduler_;
  rollout::rollout_driver driver_;
  std::map<std::string, Running> running_;               // by service
  std::map<std::string, base::TimePoint> rolledBackAt_;  // by service, of what was decided while this one led
  std::set<std::string> pendingInitialRows_;             // services whose first row is on its way
  base::TimePoint leaderSince_{};
  RolloutCounters counters_;
  base::Logger log_{"rollout"};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::controller
