/// The controller: accepts edits into the replicated log and feeds relays.
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

/// A controller as the settings name it.
struct ControllerAddress {
  std::string name;
  base::Address frames;
  int httpPort = 0;
};

/// How the controllers of a fleet find each other and replace lost ones without an operator.
struct MembershipOptions {
  bool automatic = false;  ///< off: members are those of the settings and what an operator adds or removes
  size_t minVoters = 3;  ///< 2f + 1, where f machines may be lost with their disks; see Controller::targetVoterCount()
  base::Duration replaceAfter =
      base::seconds(8);  ///< a voter that is silent for longer gives way to one that stands by
  base::Duration removeLearnerAfter = base::seconds(60);  ///< a learner that is silent for longer is removed
};

/// Settings of one controller.
struct ControllerOptions {
  std::string name;
  std::string zone;
  std::vector<ControllerAddress> controllers;  ///< all initial members; the first one forms the cluster
  bool mayBootstrap = true;  ///< whether `controllers` may form a cluster; else they are only asked for it
  ControllerAddress self;    ///< where others reach this controller; needed with automatic membership
  int relayPort = 0;         ///< where nodes reach the relay beside this controller; 0 when there is none
  MembershipOptions membership;
  consensus::RaftOptions raft;
  base::Duration relayHeartbeat = base::seconds(1);
  base::Duration relayTimeout = base::seconds(3);  ///< a relay that is silent for longer is dropped
  base::Duration nodeLease = base::seconds(8);
  base::Duration relayRegistration = base::seconds(3600);  ///< a relay that is silent for longer is forgotten
  bool fullPush = false;                                   ///< baseline for experiments
  rollout::exposure_limit exposure;                        ///< of versions on trial
  TableState::Checks checks;                               ///< parts off only in the simulator
};

/// Answer to an edit.
struct EditAnswer {
  base::ErrorCode code = base::ErrorCode::kNone;
  wire::EditOutcome outcome;  ///< set when the edit was decided
  std::string leaderName;     ///< set with kNotLeader when known
};

using LedgerReplyCallback = std::function<void(const ledger::LedgerOutcome&)>;
using EditCallback = std::function<void(const EditAnswer&)>;

/// One controller process without its sockets and files.
///
/// Invariants: an edit is answered as accepted only after it was committed and applied; only the leader answers
/// edits and feeds relays.
class Controller : public base::ConnectionHandler, public consensus::RaftTransport, public consensus::RaftListener {
 public:
  Controller(ControllerOptions options, base::Scheduler& scheduler, base::RandomSource random, base::Network& network,
             storage::Disk& disk);
  ~Controller() override;

  /// Opens the data folder and begins; `ready` is called with the result of recovery.
  void start(std::function<void(absl::Status)> ready);

  /// Decides an edit. The callback gets kNone, kInvalidEdit, kRevisionConflict, kRequestIdExpired,
  /// kRequestIdReused, kNotLeader, kNotAccepted, kStorageFull or kOutcomeUnknown.
  void submitEdit(wire::EditCommand edit, EditCallback done);

  /// Decides a ledger command; `done` is not called when leadership is lost meanwhile, the sender asks again.
  void submitLedger(wire::LedgerCommand command, LedgerReplyCallback done);

  /// Calls back with true once this controller is known to have led after the call.
  void confirmLeadership(consensus::Raft::ConfirmCallback done);

  /// Adds the controller listening at an address as a learner; it votes once it has caught up.
  absl::Status addController(const ControllerAddress& address);

  /// Removes a controller; refused when the remaining voters could not lose one more or are not caught up.
  absl::Status removeController(const std::string& name);

  /// Asks other controllers for the cluster from now on, as after a change of the settings.
  void useSeeds(std::vector<ControllerAddress> seeds);

  /// @return the address of the leader's pages; port 0 when no leader is known.
  base::Address leaderHttpAddress() const;

  /// Sets the observer of the table, which outlives this object or removes itself.
  /// @param observer null for none
  void observeTable(table::TableObserver* observer) { tableObserver_ = observer; }

  /// Called for each committed entry once it is applied.
  void onApplied(std::function<void(const wire::LogEntry&)> hook) { appliedHook_ = std::move(hook); }

  /// Called after each report of a relay.
  void onConvergenceReport(std::function<void()> hook) { reportHook_ = std::move(hook); }

  /// Prepares a planned stop: hands leadership over.
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

  /// @return the loop that this controller runs on.
  base::Scheduler& scheduler() { return scheduler_; }
  std::string leaderName() const;
  bool ready() const { return raft_ != nullptr && !raft_->leaderId().empty(); }

  /// @return whether this controller leads and has applied all that was committed before.
  bool leads() const { return raft_ && raft_->role() == consensus::RaftRole::kLeader && raft_->appliedOwnTerm(); }

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
    int64_t term;
    base::TimePoint proposedAt;
    EditCallback done;
  };

  void begin(storage::RecoveredState state);
  wire::Hello ownHello() const;
  void broadcastHello();
  void updateLinks();
  void onRelayMessage(base::ConnectionId connection, const wire::Message& message);
  void onQuotaAsk(base::ConnectionId connection, const wire::QuotaAsk& question);
  std::optional<quota::quota_limit> limitOf(const std::string& tenant) const;
  void onHousekeeping();
  void formCluster();
  void completeFormation();
  void promoteLearners();
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
  std::string identity_;  // bound to the data folder
  TableState state_;
  ledger::LedgerState ledger_;
  membership::PeerLinks links_;
  RelaySessions relays_;
  ConvergenceTracker convergence_;
  ConvergenceTimes convergenceTimes_;
  Rollouts rollouts_;
  Evacuations evacuations_;
  quota::quota_grantor quotas_;
  std::unique_ptr<consensus::Raft> raft_;                      // null until recovery ended
  std::map<base::ConnectionId, wire::Hello> peers_;            // open connections
  std::map<int64_t, PendingEdit> pending_;                     // by log index
  std::map<int64_t, LedgerReplyCallback> pendingLedger_;       // by log index
  std::map<std::string, ControllerAddress> pendingAdditions_;  // added by an operator, not yet a member
  std::map<std::string, wire::Member> discoveredMembers_;      // controllers that others told of, by id
  std::map<std::string, base::TimePoint> lastActive_;          // on the leader: when a member last answered
  std::function<void(const wire::LogEntry&)> appliedHook_;     // may be empty
  std::function<void()> reportHook_;                           // may be empty
  table::TableObserver* tableObserver_ = nullptr;              // may stay null
  bool pushScheduled_ = false;
  bool announcedTerm_ = false;  // relays were told of this term's leadership
  MemberAddressTracker memberAddresses_;
  base::Timer memberListTimer_;  // runs while changes of the members are gathered
  base::Timer housekeeping_;
  base::Timer heartbeat_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::controller
