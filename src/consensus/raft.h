/// A replicated log based on Raft: elections with pre-vote and check-quorum, pipelined appends, learners,
/// single-step membership changes, leadership transfer, chunked snapshots and quorum-confirmed reads.
///
/// The class does no I/O of its own: it accesses time, disk and network only through interfaces, so the daemons and
/// the simulator run the same code.
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
  base::Duration electionTimeout = base::milliseconds(300);  ///< minimum; each timeout is randomized up to twice this
  size_t maxBatchEntries = 256;                              ///< maximum entries in one append
  size_t maxBatchRows = 4096;         ///< maximum rows in one append; a single entry may exceed it
  size_t maxRowsPerApplyTurn = 1024;  ///< maximum rows applied before the event loop runs other tasks
  size_t snapshotChunkBytes = 256 << 10;
  size_t compactAfterEntries = 4096;  ///< minimum applied entries before a snapshot is taken
  /// The next snapshot is taken only after one applied entry per this many bytes of the last snapshot, so that the cost
  /// of snapshots per entry does not grow with the state.
  size_t snapshotBytesPerEntry = 256;
  size_t keepEntries = 1024;  ///< added to the compaction threshold, so that slow followers need snapshots less often
  /// An edit counts as one more entry for compaction per this many rows, so that the log's memory use does not depend
  /// on the rows per edit.
  size_t rowsPerWeightUnit = 4;
  /// Sends a new commit index to followers immediately instead of with the next entry or heartbeat.
  bool announceCommits = false;
  // Disabled only in the simulator to verify that its invariant checkers detect the fault.
  bool checkQuorum = true;
  bool syncBeforeAcknowledge = true;
  bool quorumCommit = true;
};

enum class RaftRole { kFollower, kCandidate, kLeader };

/// Sends encoded messages to other members; a message for several members is encoded once. Delivery is not guaranteed.
class RaftTransport {
 public:
  virtual ~RaftTransport() = default;
  virtual void sendTo(const std::string& memberId, const wire::FramePtr& frame) = 0;
};

/// The replicated state machine.
class RaftListener {
 public:
  virtual ~RaftListener() = default;

  /// Applies a committed entry; called in index order, exactly once per entry since the last restore.
  virtual void apply(const wire::LogEntry& entry) = 0;

  /// @return the encoded state after the last applied entry.
  virtual std::string takeSnapshot() = 0;

  /// Replaces the whole state with an encoded snapshot.
  virtual void restore(const std::string& state) = 0;

  /// Called when this member becomes leader or stops leading, and when its known leader changes.
  virtual void onLeadership(RaftRole role) = 0;

  /// Called when a quorum has confirmed a heartbeat round or entries were applied.
  virtual void onProgress() = 0;
};

/// One member of the replicated log.
///
/// Invariants: term and vote are synced before any response that depends on them; an entry is acknowledged only
/// after it was synced; the commit index never decreases; committed entries never change.
class Raft {
 public:
  /// Receives whether a quorum confirmed this member's leadership.
  using ConfirmCallback = std::function<void(bool confirmed)>;

  Raft(std::string id, RaftOptions options, base::Scheduler& scheduler, base::RandomSource random,
       storage::LogStore& store, RaftTransport& transport, RaftListener& listener);
  ~Raft();

  /// Loads the recovered state and starts as a follower.
  void start(const storage::RecoveredState& state);

  /// Makes this blank member the only voter of a new cluster.
  void bootstrap(const wire::Member& self);

  /// Handles a message from another member.
  void onMessage(const std::string& from, wire::Message message);

  /// Appends an entry to the leader's log.
  /// @return its index, or kNotLeader / kStorageFull / kStorageFailed
  absl::StatusOr<int64_t> propose(wire::LogEntry entry);

  /// Calls back with true once a quorum has confirmed that this member was still the leader after the call and the
  /// state machine has applied everything committed before it; with false if leadership was lost.
  void confirmLeadership(ConfirmCallback done);

  /// Proposes new members; rejected while another change is in progress or if more than one voter would change.
  absl::Status proposeMembers(std::vector<wire::Member> members, bool forming);

  /// Asks the most up-to-date active voter to start an election; this member becomes a follower once it wins.
  void transferLeadership();

  RaftRole role() const { return role_; }
  const std::string& id() const { return id_; }
  const std::string& leaderId() const { return leaderId_; }
  /// @return time since the last message of a leader, as far as this process received any
  base::Duration sinceLeaderContact() const { return scheduler_.now() - lastLeaderContact_; }
  int64_t term() const { return hardState_.term; }
  int64_t commitIndex() const { return commitIndex_; }
  int64_t appliedIndex() const { return appliedIndex_; }
  int64_t lastIndex() const { return snapshotIndex_ + static_cast<int64_t>(entries_.size()); }
  int64_t firstIndex() const { return snapshotIndex_ + 1; }
  const std::vector<wire::Member>& members() const { return members_; }
  bool forming() const { return forming_; }
  bool membershipChangePending() const { return membersIndex_ > commitIndex_; }

  /// @return the last heartbeat round confirmed by a quorum, with its term.
  wire::Freshness freshness() const;

  /// @return whether the member has acknowledged all entries up to the leader's commit index; false for this member.
  bool caughtUp(const std::string& memberId) const;

  /// @return whether a member responded within the election timeout; only meaningful on the leader.
  bool recentlyActive(const std::string& memberId) const;

  /// @return whether this leader holds a lease: a quorum responded so recently that its members cannot vote for another
  /// candidate yet.
  bool holdsLease() const;

  /// @return whether the disk failed permanently.
  bool storageFailed() const { return store_.failed(); }

  /// @return whether this leader has applied the first entry of its term, and so everything committed before it.
  bool appliedOwnTerm() const { return appliedIndex_ >= termStartIndex_; }

  /// @return whether this member was never part of a cluster.
  bool blank() const { return blank_; }

  /// @return the term of an entry; nullopt if it was compacted or does not exist.
  std::optional<int64_t> termAt(int64_t index) const;

 private:
  /// Replication progress of one other member, tracked by the leader.
  struct Progress {
    int64_t nextIndex = 1;
    int64_t matchIndex = 0;
    int64_t confirmedRound = 0;
    base::TimePoint lastResponseAt{};
    std::optional<int64_t> snapshotOffset;  // set while a snapshot is being sent
    base::TimePoint lastChunkSentAt{};
  };

  /// Identifies the content of an append; members with the same log position receive the same frame.
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
  void adoptMembers(const wire::LogEntry& entry);
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
  std::deque<wire::LogEntry> entries_;  // from snapshotIndex_ + 1 on
  int64_t snapshotIndex_ = 0;
  int64_t snapshotTerm_ = 0;
  wire::LogSnapshot snapshot_;   // newest snapshot, sent to members that are too far behind
  std::string encodedSnapshot_;  // snapshot_ as sent in chunks; empty until needed
  bool compacting_ = false;      // a snapshot is being written
  bool installing_ = false;      // the snapshot being written came from the leader
  int64_t commitIndex_ = 0;
  int64_t appliedIndex_ = 0;
  size_t appliedWeight_ = 0;  // of the applied entries after snapshotIndex_
  bool applyScheduled_ = false;
  int64_t durableIndex_ = 0;  // highest own entry known to be synced
  int64_t logEpoch_ = 0;      // incremented whenever entries are truncated

  std::vector<wire::Member> members_;  // newest in the log, committed or not
  std::vector<wire::Member> snapshotMembers_;
  bool snapshotForming_ = false;
  int64_t membersIndex_ = 0;  // index of the entry that members_ is from
  bool forming_ = false;
  bool blank_ = true;

  RaftRole role_ = RaftRole::kFollower;
  std::string leaderId_;  // empty when unknown
  base::TimePoint lastLeaderContact_{};
  bool hardStateSaved_ = true;        // whether the last term and vote were written to disk
  bool awaitingFirstContact_ = true;  // no leader contact and no election since start
  std::set<std::string> votes_;       // granted in the current (pre-)election
  bool preVoting_ = false;
  bool transferring_ = false;
  std::map<std::string, Progress> progress_;  // leader only: other members
  int64_t round_ = 0;                         // heartbeat rounds started in this term
  int64_t confirmedRound_ = 0;
  int64_t termStartIndex_ = 0;                         // the leader's first entry of its term
  base::TimePoint lastQuorumContact_{};                // when a quorum was last active
  std::map<int64_t, base::TimePoint> roundStartedAt_;  // of unconfirmed rounds
  std::optional<base::TimePoint> leaseStart_;          // start of the last confirmed round
  std::vector<PendingConfirm> pendingConfirms_;
  bool confirmRoundScheduled_ = false;
  bool commitAnnouncementScheduled_ = false;  // announceCommit() is scheduled
  AppendContent appendContent_;               // of appendFrame_
  wire::FramePtr appendFrame_;                // the last append sent; null on followers

  std::string incomingSnapshot_;  // snapshot being received
  int64_t incomingSnapshotIndex_ = 0;
  int64_t incomingSnapshotTerm_ = 0;

  base::Timer electionTimer_;
  base::Timer heartbeatTimer_;
};

}  // namespace driftlug::consensus
