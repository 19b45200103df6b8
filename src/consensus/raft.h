/// A replicated log after Raft: elections with pre-vote and check-quorum, pipelined appends, learners,
/// single-step membership changes, leadership transfer, chunked snapshots and quorum-confirmed reads.
///
/// The class does no I/O of its own: it sees time, disk and network only through interfaces, so the daemons and
/// the simulator run the same object.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/random.h"
#include "base/time.h"
#include "storage/log_store.h"
#include "wire/frame.h"

namespace driftlug::consensus {

/// Tunable times and sizes.
struct RaftOptions {
  base::Duration heartbeatInterval = base::milliseconds(50);
  base::Duration electionTimeout = base::milliseconds(300);  ///< lowest; the highest is twice that
  size_t maxBatchEntries = 256;                              ///< entries in one append
  size_t maxBatchRows = 4096;                                ///< rows of the entries in one append, unless one has more
  size_t maxRowsPerApplyTurn = 1024;                         ///< rows of entries applied before others have their turn
  size_t snapshotChunkBytes = 256 << 10;
  size_t compactAfterEntries = 4096;  ///< applied entries kept before a snapshot is taken, at least
  /// Bytes of the last snapshot for each of which another entry is kept, so that the cost of snapshots per entry
  /// does not grow with the state.
  size_t snapshotBytesPerEntry = 256;
  size_t keepEntries = 1024;  ///< entries kept behind a snapshot for slow followers
  /// Rows for which an entry counts as one more, so that the memory of the log does not depend on how rows are edited.
  size_t rowsPerWeightUnit = 4;
  /// Whether followers are told of a commit at once, not with the next entry or heartbeat.
  bool announceCommits = false;
  // Switched off only in the simulator, to prove that a checker notices.
  bool checkQuorum = true;
  bool syncBeforeAcknowledge = true;
  bool quorumCommit = true;
};

enum class RaftRole { kFollower, kCandidate, kLeader };

/// Sends messages to other members, encoded, so that one that goes to many is encoded once; delivery is not certain.
class RaftTransport {
 public:
  virtual ~RaftTransport() = default;
  virtual void sendTo(const std::string& memberId, const wire::FramePtr& frame) = 0;
};

/// The state machine that the log drives.
class RaftListener {
 public:
  virtual ~RaftListener() = default;

  /// A committed entry, in index order, each exactly once since the last restore.
  virtual void apply(const wire::LogEntry& entry) = 0;

  /// @return the encoded state after the last applied entry.
  virtual std::string takeSnapshot() = 0;

  /// Replaces the whole state.
  virtual void restore(const std::string& state) = 0;

  /// This member began or stopped to lead, or learned of another leader.
  virtual void onLeadership(RaftRole role) = 0;

  /// A heartbeat round was confirmed by a quorum, or entries were committed.
  virtual void onProgress() = 0;
};

/// One member of the replicated log.
///
/// Invariants: term and vote are synced before any answer that depends on them; an entry is acknowledged only
/// when synced; the commit index never decreases; committed entries never change.
class Raft {
 public:
  /// Outcome of a proposal that was taken into the leader's log.
  using ConfirmCallback = std::function<void(bool confirmed)>;

  Raft(std::string id, RaftOptions options, base::Scheduler& scheduler, base::RandomSource random,
       storage::LogStore& store, RaftTransport& transport, RaftListener& listener);
  ~Raft();

  /// Takes over recovered state and begins as a follower.
  void start(const storage::RecoveredState& state);

  /// Makes this blank member the only voter of a new cluster.
  void bootstrap(const wire::Member& self);

  /// A message from another member.
  void onMessage(const std::string& from, wire::Message message);

  /// Adds an entry to the leader's log.
  /// @return its index, or kNotLeader / kStorageFull / kStorageFailed
  absl::StatusOr<int64_t> propose(wire::LogEntry entry);

  /// Calls back once a quorum has confirmed that this member still led after the call, and the state machine has
  /// applied everything committed before it; false when leadership was lost.
  void confirmLeadership(ConfirmCallback done);

  /// Proposes new members; refused while another change is in progress or when more than one voter would change.
  absl::Status proposeMembers(std::vector<wire::Member> members, bool forming);

  /// Hands leadership to the most advanced voter; ends as a follower when that works out.
  void transferLeadership();

  RaftRole role() const { return role_; }
  const std::string& id() const { return id_; }
  const std::string& leaderId() const { return leaderId_; }
  int64_t term() const { return hardState_.term; }
  int64_t commitIndex() const { return commitIndex_; }
  int64_t appliedIndex() const { return appliedIndex_; }
  int64_t lastIndex() const { return snapshotIndex_ + static_cast<int64_t>(entries_.size()); }
  int64_t firstIndex() const { return snapshotIndex_ + 1; }
  const std::vector<wire::Member>& members() const { return members_; }
  bool forming() const { return forming_; }
  bool membershipChangePending() const { return membersIndex_ > commitIndex_; }

  /// @return the last heartbeat round that a quorum confirmed, with its term.
  wire::Freshness freshness() const;

  /// @return whether the member is caught up with the leader's log to within one batch.
  bool caughtUp(const std::string& memberId) const;

  /// @return whether a follower answered within the election timeout; only meaningful on the leader.
  bool recentlyActive(const std::string& memberId) const;

  /// @return whether a quorum has answered this leader within the time in which its members vote for nobody else.
  bool holdsLease() const;

  /// @return whether the disk failed for good.
  bool storageFailed() const { return store_.failed(); }

  /// @return whether everything committed before this leader's term has been applied.
  bool appliedOwnTerm() const { return appliedIndex_ >= termStartIndex_; }

  /// @return whether this member was never part of a cluster.
  bool blank() const { return blank_; }

  /// @return term of an entry; nullopt when it was compacted away or does not exist.
  std::optional<int64_t> termAt(int64_t index) const;

 private:
  /// What the leader knows of one other member.
  struct Progress {
    int64_t nextIndex = 1;
    int64_t matchIndex = 0;
    int64_t confirmedRound = 0;
    base::TimePoint lastResponseAt{};
    std::optional<int64_t> snapshotOffset;  // set while a snapshot is being sent
    base::TimePoint lastChunkSentAt{};
  };

  /// What an append says; members at the same place of the log get the same one.
  struct AppendContent {
    int64_t term = 0;
    int64_t round = 0;
    int64_t commitIndex = 0;
    int64_t previousIndex = 0;
    int64_t lastIndex = 0;
    bool operator==(const AppendContent&) const = default;
  };

  struct PendingConfirm {
    int64_t round;
    int64_t index;
    ConfirmCallback done;
  };

  // Elections
  void resetElectionTimer();
  void startInitialElectionTimer();
  bool saveHardState();
  void onElectionTimeout();
  void startElection(bool preVote, bool transfer);
  void onVoteRequest(const std::string& from, const wire::VoteRequest& request);
  void onVoteResponse(const std::string& from, const wire::VoteResponse& response);
  bool candidateIsUpToDate(const wire::VoteRequest& request) const;
  void becomeFollower(int64_t term, const std::string& leader);
  void becomeLeader();
  void setTerm(int64_t term, const std::string& votedFor);
  bool isVoter(const std::string& memberId) const;
  bool hasQuorum(const std::set<std::string>& ids) const;

  // Replication
  void onHeartbeatTimer();
  void broadcast();
  void sendTo(const std::string& memberId, const wire::Message& message);
  void sendAppend(const std::string& memberId, Progress* progress);
  wire::FramePtr encodeAppend(const AppendContent& content, int64_t previousTerm);
  void sendSnapshotChunk(const std::string& memberId, Progress* progress);
  void onAppendRequest(const std::string& from, wire::AppendRequest request);
  void answerAppend(const std::string& to, const wire::AppendRequest& request, bool success, int64_t matchIndex);
  void acceptEntries(const std::string& from, wire::AppendRequest request);
  absl::Status appendNew(std::vector<wire::LogEntry> entries);
  void onAppendResponse(const std::string& from, const wire::AppendResponse& response);
  void onSnapshotChunk(const std::string& from, const wire::SnapshotChunk& chunk);
  void onSnapshotAck(const std::string& from, const wire::SnapshotChunkAck& ack);
  void installSnapshot(const std::string& from, const wire::SnapshotChunk& last);
  void advanceCommit();
  void announceCommit();
  int64_t quorumValue(const std::function<int64_t(const std::string&)>& valueOf) const;
  void checkQuorum();
  void confirmRounds();
  void failConfirms();
  void applyCommitted();
  void scheduleApply();
  int64_t batchEnd(int64_t previousIndex) const;
  void compact();
  size_t weightOf(const wire::LogEntry& entry) const;
  void truncateFrom(int64_t index);
  void useMembersFrom(const wire::LogEntry& entry);
  void recomputeMembers();
  const wire::LogEntry& entryAt(int64_t index) const {
    return entries_[static_cast<size_t>(index - snapshotIndex_ - 1)];
  }
  void afterSync(std::function<void()> then);

  std::string id_;  // fixed at construction
  RaftOptions options_;
  base::Scheduler& scheduler_;
  base::RandomSource random_;
  storage::LogStore& store_;
  RaftTransport& transport_;
  RaftListener& listener_;
  base::Logger log_{"control"};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed; guards callbacks

  wire::HardState hardState_;           // written to the store at each change
  std::deque<wire::LogEntry> entries_;  // behind snapshotIndex_
  int64_t snapshotIndex_ = 0;
  int64_t snapshotTerm_ = 0;
  wire::LogSnapshot snapshot_;   // newest snapshot, sent to members that are too far behind
  std::string encodedSnapshot_;  // snapshot_ as sent in chunks; empty until needed
  bool compacting_ = false;      // a snapshot is being written
  bool installing_ = false;      // the snapshot being written came from the leader
  int64_t commitIndex_ = 0;
  int64_t appliedIndex_ = 0;
  size_t appliedWeight_ = 0;  // of the applied entries behind snapshotIndex_
  bool applyScheduled_ = false;
  int64_t durableIndex_ = 0;  // highest own entry known to be synced
  int64_t logEpoch_ = 0;      // changes whenever entries are cut from the end

  std::vector<wire::Member> members_;  // newest in the log, committed or not
  std::vector<wire::Member> snapshotMembers_;
  bool snapshotForming_ = false;
  int64_t membersIndex_ = 0;  // entry that members_ came from
  bool forming_ = false;
  bool blank_ = true;

  RaftRole role_ = RaftRole::kFollower;
  std::string leaderId_;  // empty when unknown
  base::TimePoint lastLeaderContact_{};
  bool hardStateSaved_ = true;        // whether the disk took the last term and vote
  bool awaitingFirstContact_ = true;  // since the start no leader was heard of and no election took part in
  std::set<std::string> votes_;       // granted in the current (pre-)election
  bool preVoting_ = false;
  bool transferring_ = false;
  std::map<std::string, Progress> progress_;  // leader only: other members
  int64_t round_ = 0;                         // heartbeat rounds begun in this term
  int64_t confirmedRound_ = 0;
  int64_t termStartIndex_ = 0;                         // the leader's first entry of its term
  base::TimePoint lastQuorumContact_{};                // when a quorum last answered
  std::map<int64_t, base::TimePoint> roundStartedAt_;  // of rounds that no quorum has confirmed yet
  std::optional<base::TimePoint> leaseStart_;          // when the last confirmed round began
  std::vector<PendingConfirm> pendingConfirms_;
  bool confirmRoundScheduled_ = false;
  bool commitAnnouncementScheduled_ = false;  // announceCommit() is scheduled
  AppendContent appendContent_;               // of appendFrame_
  wire::FramePtr appendFrame_;                // the append that was sent last; null on followers

  std::string incomingSnapshot_;  // snapshot being received
  int64_t incomingSnapshotIndex_ = 0;
  int64_t incomingSnapshotTerm_ = 0;

  base::Timer electionTimer_;
  base::Timer heartbeatTimer_;
};

}  // namespace driftlug::consensus
