/// The controller: replicates edits through the Raft log and sends table updates to relays.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/log.h"
#include "base/network.h"
#include "base/random.h"
#include "base/time.h"
#include "consensus/raft.h"
#include "controller/convergence.h"
#include "controller/convergence_times.h"
#include "controller/evacuations.h"
#include "controller/member_address_tracker.h"
#include "controller/relay_sessions.h"
#include "controller/rollouts.h"
#include "controller/table_state.h"
#include "ledger/ledger_state.h"
#include "membership/peer_links.h"
#include "quota/quota_grantor.h"
#include "table/table_observer.h"

namespace driftlug::controller {

/// Name and addresses of a controller from the settings.
struct ControllerAddress {
  std::string name;
  base::Address frames;
  int httpPort = 0;
};

/// Settings of automatic cluster membership: discovery of controllers and replacement of lost voters.
struct MembershipOptions {
  bool automatic = false;  ///< if false, only the settings and operator requests change the members
  size_t minVoters = 3;    ///< 2f + 1 to tolerate the loss of f machines with their disks; see targetVoterCount()
  base::Duration replaceAfter = base::seconds(8);         ///< inactivity after which a learner replaces a voter
  base::Duration removeLearnerAfter = base::seconds(60);  ///< inactivity after which a learner is removed
};

/// Settings of one controller.
struct ControllerOptions {
  std::string name;
  std::string zone;
  std::vector<ControllerAddress> controllers;  ///< initial members or seeds; the first one bootstraps the cluster
  bool mayBootstrap = true;                    ///< if false, `controllers` are only seeds for discovery
  ControllerAddress self;                      ///< own advertised address; required with automatic membership
  int relayPort = 0;                           ///< port of the relay on the same machine; 0 if there is none
  MembershipOptions membership;
  consensus::RaftOptions raft;
  base::Duration relayHeartbeat = base::seconds(1);
  base::Duration relayTimeout = base::seconds(3);  ///< inactivity after which a relay connection is closed
  base::Duration nodeLease = base::seconds(8);
  base::Duration relayRegistration = base::seconds(3600);  ///< inactivity after which a relay is unregistered
  bool fullPush = false;             ///< sends the whole table with each update; baseline for experiments
  rollout::exposure_limit exposure;  ///< limits the traffic of versions under rollout
  TableState::Checks checks;         ///< disabled in part only in the simulator
};

/// Result of an edit.
struct EditAnswer {
  base::ErrorCode code = base::ErrorCode::kNone;
  wire::EditOutcome outcome;  ///< set if the edit was accepted or rejected
  std::string leaderName;     ///< set with kNotLeader if the leader is known
};

using LedgerOutcomeCallback = std::function<void(const ledger::LedgerOutcome&)>;
using EditCallback = std::function<void(const EditAnswer&)>;

/// One controller process; network and disk are accessed only through interfaces.
///
/// Invariants: an edit is reported as accepted only after it was committed and applied; only the leader decides edits
/// and sends updates to relays.
class Controller : public base::ConnectionHandler, public consensus::RaftTransport, public consensus::RaftListener {
 public:
  Controller(ControllerOptions options, base::Scheduler& scheduler, base::RandomSource random, base::Network& network,
             storage::Disk& disk);
  ~Controller() override;

  /// Opens the data folder, recovers the state and starts; `ready` receives the result of the recovery.
  void start(std::function<void(absl::Status)> ready);

  /// Submits an edit. The callback receives kNone, kInvalidEdit, kRevisionConflict, kRequestIdExpired,
  /// kRequestIdReused, kNotLeader, kNotAccepted, kForming, kStorageFull or kOutcomeUnknown.
  void submitEdit(wire::EditCommand edit, EditCallback done);

  /// Submits a ledger command. If leadership is lost before it is applied, `done` is not called and the sender retries.
  void submitLedger(wire::LedgerCommand command, LedgerOutcomeCallback done);

  /// Calls back with true once a quorum has confirmed that this controller was still the leader after the call.
  void confirmLeadership(consensus::Raft::ConfirmCallback done);

  /// Adds the controller listening at an address as a learner; it votes once it has caught up.
  absl::Status addController(const ControllerAddress& address);

  /// Removes a controller. Rejected if too few of the remaining voters are active and caught up.
  absl::Status removeController(const std::string& name);

  /// Replaces the seeds used for discovery, e.g. after a change of the settings.
  void setSeeds(std::vector<ControllerAddress> seeds);

  /// @return the leader's HTTP address; port 0 if no leader is known.
  base::Address leaderHttpAddress() const;

  /// Sets the table observer, which must outlive this object or unset itself first.
  /// @param observer null to unset
  void setTableObserver(table::TableObserver* observer) { tableObserver_ = observer; }

  /// Sets a hook that is called after each committed entry is applied.
  void onApplied(std::function<void(const wire::LogEntry&)> hook) { appliedHook_ = std::move(hook); }

  /// Sets a hook that is called after each convergence report of a relay.
  void onConvergenceReport(std::function<void()> hook) { reportHook_ = std::move(hook); }

  /// Prepares a planned stop by transferring leadership.
  void prepareStop();

  const TableState& state() const { return state_; }
  const ledger::LedgerState& ledger() const { return ledger_; }
  const consensus::Raft& raft() const { return *raft_; }
  const ConvergenceTracker& convergence() const { return convergence_; }
  const ConvergenceTimes& convergenceTimes() const { return convergenceTimes_; }
  const RelaySessions& relays() const { return relays_; }
  Rollouts& rollouts() { return rollouts_; }
  const Rollouts& rollouts() const { return rollouts_; }
  Evacuations& evacuations() { return evacuations_; }
  const Evacuations& evacuations() const { return evacuations_; }
  const quota::quota_grantor& quotas() const { return quotas_; }
  const std::string& name() const { return options_.name; }

  /// @return the event loop that this controller runs on.
  base::Scheduler& scheduler() { return scheduler_; }
  std::string leaderName() const;
  bool ready() const { return raft_ != nullptr && !raft_->leaderId().empty(); }

  /// @return whether this controller is the leader and has applied everything committed before its term.
  bool leads() const { return raft_ && raft_->role() == consensus::RaftRole::kLeader && raft_->appliedOwnTerm(); }

  /// @return whether the leader takes edits. In a new cluster it does not until as many controllers vote as the
  /// tolerated loss of disks needs: what fewer have acknowledged could be lost with them.
  bool takesEdits() const;

  // base::ConnectionHandler
  void onOpen(base::ConnectionId connection, const wire::Hello& peer) override;
  void onMessage(base::ConnectionId connection, wire::Message message) override;
  void onClose(base::ConnectionId connection) override;

  // consensus::RaftTransport
  void sendTo(const std::string& memberId, const wire::FramePtr& frame) override;

  // consensus::RaftListener
  void apply(const wire::LogEntry& entry) override;
  std::string takeSnapshot() override;
  void restore(const std::string& state) override;
  void onLeadership(consensus::RaftRole role) override;
  void onProgress() override;

 private:
  struct PendingEdit {
    std::string requestId;  // of the operator
    int64_t term;
    base::TimePoint proposedAt;
    EditCallback done;
  };

  void begin(storage::RecoveredState state);
  wire::Hello ownHello() const;
  void broadcastHello();
  void updateLinks();
  void onRelayMessage(base::ConnectionId connection, const wire::Message& message);
  void onQuotaAsk(base::ConnectionId connection, const wire::QuotaAsk& quotaRequest);
  std::optional<quota::quota_limit> limitOf(const std::string& tenant) const;
  void onHousekeeping();
  void formCluster();
  void completeFormation();
  bool enoughSeedsAreBlank() const;
  bool isPresent(const wire::Member& member) const;
  void promoteLearners();
  void answerKnown(const wire::EditOutcome& outcome, const wire::EditCommand& edit, const EditCallback& done);
  bool mustNotExpire(const wire::EditCommand& edit) const;
  bool isInFlight(const std::string& requestId) const;
  wire::EditOutcome outcomeForOperator(const wire::EditCommand& edit, wire::EditOutcome outcome) const;
  void answerPending(int64_t index, const wire::EditOutcome& outcome);
  void failPending();
  void applyEdit(const wire::LogEntry& entry);
  void recordCommit(const wire::LogEntry& entry);
  void notifyRollouts(const wire::EditCommand& edit);
  void applyLedger(const wire::LogEntry& entry);
  void onLedgerRequest(base::ConnectionId connection, const wire::LedgerRequest& request);
  void onMembers(const wire::LogEntry& entry);
  bool isMember(const std::string& id) const;
  wire::MemberList memberList() const;
  void sendMemberList(base::ConnectionId connection, const wire::Hello& peer);
  void scheduleMemberListBroadcast();
  void broadcastMemberList();
  void onMemberList(const wire::MemberList& list);
  void admitNewControllers();
  void manageVoters();
  bool identityReplaced(const wire::Member& member) const;
  bool isLost(const wire::Member& member) const;
  void updateLastActive();
  size_t targetVoterCount() const;
  const wire::Member* selectVoterToPromote() const;
  const wire::Member* selectMemberToRemove() const;
  void registerRelay(const wire::Hello& hello);
  void updateRegisteredRelays();
  void removeExpiredRelays();
  wire::Member memberFor(const ControllerAddress& address, const wire::Hello& hello) const;
  const ControllerAddress* ownAddress() const;

  ControllerOptions options_;
  base::Scheduler& scheduler_;
  base::RandomSource random_;
  base::Network& network_;
  base::Logger log_{"control"};
  storage::LogStore store_;
  std::string identity_;  // Raft member id, stored in the data folder
  TableState state_;
  ledger::LedgerState ledger_;
  membership::PeerLinks links_;
  RelaySessions relays_;
  ConvergenceTracker convergence_;
  ConvergenceTimes convergenceTimes_;
  Rollouts rollouts_;
  Evacuations evacuations_;
  quota::quota_grantor quotas_;
  std::unique_ptr<consensus::Raft> raft_;                      // null until recovery has finished
  std::map<base::ConnectionId, wire::Hello> peers_;            // open connections
  std::map<int64_t, PendingEdit> pending_;                     // by log index
  std::map<int64_t, LedgerOutcomeCallback> pendingLedger_;     // by log index
  std::map<std::string, ControllerAddress> pendingAdditions_;  // added by an operator, not yet members
  std::map<std::string, wire::Member> discoveredMembers_;      // members learned from other controllers, by id
  std::map<std::string, base::TimePoint> lastActive_;          // leader only: when each member last responded
  std::function<void(const wire::LogEntry&)> appliedHook_;     // may be empty
  std::function<void()> reportHook_;                           // may be empty
  table::TableObserver* tableObserver_ = nullptr;              // may stay null
  base::TimePoint startedAt_{};                                // when the recovery had finished
  base::TimePoint leadsSince_{};                               // leader only
  bool pushScheduled_ = false;
  bool announcedTerm_ = false;  // whether relays were notified of this term's leader
  MemberAddressTracker memberAddresses_;
  base::Timer memberListTimer_;  // runs while a member list broadcast is pending
  base::Timer housekeeping_;
  base::Timer heartbeat_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::controller
