/// Rollout orders, which move a service to another version; carried out by the leader.
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

/// An operator's order to move a service to a target version.
struct RolloutOrder {
  std::string service;
  std::string target;
  base::Duration finishBy{0};
};

/// Result of an order or abort request.
struct RolloutAnswer {
  base::ErrorCode code = base::ErrorCode::kNone;
  std::string message;  ///< reason of the rejection; empty if the request was accepted
};

using RolloutCallback = std::function<void(const RolloutAnswer&)>;

/// Counters of the orders, steps and reports that this controller handled as leader.
struct RolloutCounters {
  int64_t begun = 0;
  int64_t completed = 0;
  int64_t rolledBack = 0;
  int64_t steps = 0;
  int64_t reports = 0;
};

/// Writes the rollout rows, with one edit per step. Each edit expects the revision of the row that it is based on, so
/// that concurrent leaders or operators never overwrite each other's steps. All other state is soft state of the
/// leader.
///
/// Invariants: an order is reported as accepted only when its row is committed; a service has at most one running
/// order; only rows in state RUNNING cause any work.
class Rollouts {
 public:
  Rollouts(Controller& controller, base::Scheduler& scheduler, const rollout::exposure_limit& exposure);
  ~Rollouts();

  /// Starts an order. The callback receives kNone, also if the same order is running or was the last to complete;
  /// kRevisionConflict if another order is running; kInvalidEdit, kNotLeader, kNotAccepted or kOutcomeUnknown.
  void order(const RolloutOrder& order, RolloutCallback done);

  /// Rolls the running order back. The callback receives kNone, also if the order was rolled back recently;
  /// kRowNotFound if none is running; otherwise the codes of order().
  void abort(const std::string& service, RolloutCallback done);

  /// @return the rollout row of a service, or null.
  std::shared_ptr<const wire::Row> rowOf(const std::string& service) const;

  /// @return the verdict on the target version of the running order; only meaningful on the leader.
  rollout::version_verdict verdictOf(const std::string& service) const;

  /// @return the time since the running order of a service was accepted; 0 if none is running.
  base::Duration elapsed(const std::string& service) const;

  /// Applies the nodes' reports on endpoints of services with a running order.
  void onReports(const wire::VersionReports& reports);

  /// Handles the versions that relays observe for services without a rollout row: the version with the most endpoints
  /// becomes the standing version.
  void onSeenVersions(const wire::SeenVersions& seen);

  /// Handles a committed rollout row; called on every controller.
  void onApplied(const std::string& service);

  /// Rebuilds the state after the table was replaced by a snapshot.
  void onRestored();

  /// Handles a change of leadership.
  void onLeadership();

  /// Takes the steps that are due; called several times a second.
  void tick();

  const RolloutCounters& counters() const { return counters_; }

  /// @return the number of services with a running order.
  size_t running() const { return running_.size(); }

 private:
  /// A running order.
  struct Running {
    int64_t revision = 0;         // of its row
    base::TimePoint writtenAt{};  // when this controller applied the row
    bool submitting = false;
    rollout::version_evidence evidence;

    explicit Running(const base::TimeSource& time) : evidence(time) {}
  };

  void track(const wire::Row& row);
  void decide(const RolloutOrder& order, const RolloutCallback& done, int conflictsLeft);
  void submit(const std::string& service, wire::RolloutRow row, int64_t expectedRevision, const std::string& stepName,
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
  std::map<std::string, base::TimePoint> rolledBackAt_;  // by service; only rollbacks applied as leader
  std::set<std::string> pendingInitialRows_;             // services whose initial row is being submitted
  base::TimePoint leaderSince_{};
  RolloutCounters counters_;
  base::Logger log_{"rollout"};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::controller
