#include "consensus/raft.h"

#include <algorithm>

#include "base/error.h"

namespace driftlug::consensus {

using base::ErrorCode;
using base::makeError;

Raft::Raft(std::string id, RaftOptions options, base::Scheduler& scheduler, base::RandomSource random,
           storage::LogStore& store, RaftTransport& transport, RaftListener& listener)
    : id_(std::move(id)),
      options_(options),
      scheduler_(scheduler),
      random_(random),
      store_(store),
      transport_(transport),
      listener_(listener),
      electionTimer_(scheduler, [this] { onElectionTimeout(); }),
      heartbeatTimer_(scheduler, [this] { onHeartbeatTimer(); }) {}

Raft::~Raft() { *alive_ = false; }

void Raft::start(const storage::RecoveredState& state) {
  hardState_ = state.hardState;
  blank_ = !state.snapshot && state.entries.empty();
  if (state.snapshot) {
    snapshot_ = *state.snapshot;
    snapshotIndex_ = snapshot_.index;
    snapshotTerm_ = snapshot_.term;
    snapshotMembers_ = snapshot_.members;
    snapshotForming_ = snapshot_.forming;
    commitIndex_ = snapshotIndex_;
    appliedIndex_ = snapshotIndex_;
    listener_.restore(snapshot_.state);
  }
  entries_.assign(state.entries.begin(), state.entries.end());
  durableIndex_ = lastIndex();
  recomputeMembers();
  startInitialElectionTimer();
}

void Raft::bootstrap(const wire::Member& self) {
  wire::LogEntry entry;
  entry.index = 1;
  entry.term = 1;
  entry.kind = wire::EntryKind::MEMBERS;
  entry.__set_members({self});
  entry.forming = true;
  hardState_.term = 1;
  hardState_.votedFor = id_;
  if (!store_.saveHardState(hardState_).ok() || !store_.append({entry}).ok()) return;
  entries_.push_back(entry);
  blank_ = false;
  recomputeMembers();
  store_.sync([this, alive = alive_](const absl::Status& status) {
    if (!*alive || !status.ok()) return;
    durableIndex_ = std::max<int64_t>(durableIndex_, 1);
    startElection(false, false);
  });
}

void Raft::onMessage(const std::string& from, wire::Message message) {
  if (const auto* request = std::get_if<wire::VoteRequest>(&message)) return onVoteRequest(from, *request);
  if (const auto* response = std::get_if<wire::VoteResponse>(&message)) return onVoteResponse(from, *response);
  if (auto* request = std::get_if<wire::AppendRequest>(&message)) return onAppendRequest(from, std::move(*request));
  if (const auto* response = std::get_if<wire::AppendResponse>(&message)) return onAppendResponse(from, *response);
  if (const auto* chunk = std::get_if<wire::SnapshotChunk>(&message)) return onSnapshotChunk(from, *chunk);
  if (const auto* ack = std::get_if<wire::SnapshotChunkAck>(&message)) return onSnapshotAck(from, *ack);
  if (const auto* now = std::get_if<wire::TimeoutNow>(&message)) {
    if (now->term == hardState_.term && isVoter(id_)) startElection(false, true);
  }
}

std::optional<int64_t> Raft::termAt(int64_t index) const {
  if (index == snapshotIndex_) return snapshotTerm_;
  if (index < snapshotIndex_ || index > lastIndex()) return std::nullopt;
  return entryAt(index).term;
}

wire::Freshness Raft::freshness() const {
  wire::Freshness freshness;
  freshness.term = hardState_.term;
  freshness.round = confirmedRound_;
  return freshness;
}

bool Raft::caughtUp(const std::string& memberId) const {
  const auto found = progress_.find(memberId);
  return found != progress_.end() && found->second.matchIndex >= commitIndex_;
}

bool Raft::recentlyActive(const std::string& memberId) const {
  if (memberId == id_) return true;
  const auto found = progress_.find(memberId);
  if (found == progress_.end() || found->second.lastResponseAt == base::TimePoint{}) return false;
  return scheduler_.inputReadUntil() - found->second.lastResponseAt < options_.electionTimeout;
}

absl::StatusOr<int64_t> Raft::propose(wire::LogEntry entry) {
  if (role_ != RaftRole::kLeader || transferring_) return makeError(ErrorCode::kNotLeader, "this member does not lead");
  const auto index = lastIndex() + 1;
  entry.index = index;
  entry.term = hardState_.term;
  if (auto status = store_.appendOne(entry); !status.ok()) {
    if (store_.failed()) becomeFollower(hardState_.term, "");
    return status;
  }
  entries_.push_back(std::move(entry));
  if (entries_.back().kind == wire::EntryKind::MEMBERS) adoptMembers(entries_.back());
  broadcast();
  afterSync([this, index, epoch = logEpoch_] {
    if (epoch != logEpoch_) return;
    durableIndex_ = std::max(durableIndex_, index);
    advanceCommit();
  });
  return index;
}

absl::Status Raft::proposeMembers(std::vector<wire::Member> members, bool forming) {
  if (role_ != RaftRole::kLeader) return makeError(ErrorCode::kNotLeader, "this member does not lead");
  // Until an entry of its own term is applied, a leader may not know of a membership change committed by an earlier
  // leader.
  if (!appliedOwnTerm()) return makeError(ErrorCode::kNotAccepted, "this leader has just begun");
  if (membershipChangePending()) return makeError(ErrorCode::kNotAccepted, "another membership change is in progress");
  std::set<std::string> before;
  std::set<std::string> after;
  for (const auto& member : members_) {
    if (member.voting) before.insert(member.id);
  }
  for (const auto& member : members) {
    if (member.voting) after.insert(member.id);
  }
  std::vector<std::string> difference;
  std::set_symmetric_difference(before.begin(), before.end(), after.begin(), after.end(),
                                std::back_inserter(difference));
  if (difference.size() > 1) return makeError(ErrorCode::kNotAccepted, "only one voter may change at a time");
  wire::LogEntry entry;
  entry.kind = wire::EntryKind::MEMBERS;
  entry.__set_members(members);
  entry.forming = forming;
  return propose(entry).status();
}

void Raft::confirmLeadership(ConfirmCallback done) {
  if (role_ != RaftRole::kLeader) return done(false);
  // Only a round that starts after this call confirms leadership.
  pendingConfirms_.push_back({round_ + 1, std::max(commitIndex_, termStartIndex_), std::move(done)});
  if (confirmRoundScheduled_) return;
  confirmRoundScheduled_ = true;
  scheduler_.schedule(base::Duration(0), [this, alive = alive_] {
    if (!*alive) return;
    confirmRoundScheduled_ = false;
    if (role_ == RaftRole::kLeader) onHeartbeatTimer();
  });
}

void Raft::afterSync(std::function<void()> then) {
  if (!options_.syncBeforeAcknowledge) {
    scheduler_.schedule(base::Duration(0), [alive = alive_, then = std::move(then)] {
      if (*alive) then();
    });
    return;
  }
  // Nothing that depends on an unwritten term or vote may be sent: a restart would lose the term and the vote.
  if (!hardStateSaved_ && !saveHardState()) return;
  store_.sync([this, alive = alive_, then = std::move(then)](const absl::Status& status) {
    if (!*alive) return;
    if (status.ok()) return then();
    log_.error("disk sync failed, this member stops voting: {}", base::errorText(status));
    if (role_ != RaftRole::kFollower) becomeFollower(hardState_.term, "");
  });
}

void Raft::adoptMembers(const wire::LogEntry& entry) {
  members_ = entry.members;
  forming_ = entry.forming;
  membersIndex_ = entry.index;
  if (role_ != RaftRole::kLeader) return;
  for (const auto& member : members_) {
    if (member.id == id_ || progress_.count(member.id) > 0) continue;
    Progress newProgress;
    newProgress.nextIndex = lastIndex() + 1;
    progress_[member.id] = newProgress;
  }
  std::erase_if(progress_, [this](const auto& item) {
    return std::none_of(members_.begin(), members_.end(), [&](const auto& member) { return member.id == item.first; });
  });
}

void Raft::recomputeMembers() {
  members_ = snapshotMembers_;
  forming_ = snapshotForming_;
  membersIndex_ = snapshotIndex_;
  for (const auto& entry : entries_) {
    if (entry.kind == wire::EntryKind::MEMBERS) adoptMembers(entry);
  }
}

void Raft::truncateFrom(int64_t index) {
  entries_.resize(static_cast<size_t>(index - snapshotIndex_ - 1));
  durableIndex_ = std::min(durableIndex_, index - 1);
  ++logEpoch_;
  recomputeMembers();
}

/// Applies in batches, so that a member with many entries to apply, e.g. after a start, still responds to heartbeats.
void Raft::applyCommitted() {
  size_t rows = 0;
  while (appliedIndex_ < commitIndex_ && rows < options_.maxRowsPerApplyTurn) {
    ++appliedIndex_;
    const auto& entry = entryAt(appliedIndex_);
    rows += 1 + entry.edit.mutations.size();
    appliedWeight_ += weightOf(entry);
    listener_.apply(entry);
  }
  if (appliedIndex_ < commitIndex_) scheduleApply();
  confirmRounds();
  listener_.onProgress();
  compact();
}

void Raft::scheduleApply() {
  if (applyScheduled_) return;
  applyScheduled_ = true;
  scheduler_.schedule(base::Duration(0), [this, alive = alive_] {
    if (!*alive) return;
    applyScheduled_ = false;
    applyCommitted();
  });
}

size_t Raft::weightOf(const wire::LogEntry& entry) const {
  return 1 + entry.edit.mutations.size() / options_.rowsPerWeightUnit;
}

void Raft::compact() {
  const auto stateEntries = snapshot_.state.size() / options_.snapshotBytesPerEntry;
  const auto threshold = std::max(options_.compactAfterEntries, stateEntries) + options_.keepEntries;
  if (compacting_ || appliedWeight_ < threshold) return;
  compacting_ = true;
  wire::LogSnapshot snapshot;
  snapshot.state = listener_.takeSnapshot();
  snapshot.index = appliedIndex_;
  snapshot.term = *termAt(appliedIndex_);
  snapshot.members = snapshotMembers_;
  snapshot.forming = snapshotForming_;
  for (const auto& entry : entries_) {
    if (entry.index > appliedIndex_ || entry.kind != wire::EntryKind::MEMBERS) continue;
    snapshot.members = entry.members;
    snapshot.forming = entry.forming;
  }
  const auto carry = [this, index = snapshot.index] {
    storage::CarriedState carried;
    carried.hardState = hardState_;
    for (const auto& entry : entries_) {
      if (entry.index > index) carried.entries.push_back(entry);
    }
    return carried;
  };
  store_.saveSnapshot(snapshot, carry, [this, alive = alive_, snapshot](const absl::Status& status) {
    if (!*alive) return;
    compacting_ = false;
    if (!status.ok()) {
      log_.warn("snapshot at index {} failed: {}", snapshot.index, base::errorText(status));
      return;
    }
    if (snapshot.index <= snapshotIndex_) return;
    while (!entries_.empty() && entries_.front().index <= snapshot.index) {
      appliedWeight_ -= weightOf(entries_.front());
      entries_.pop_front();
    }
    snapshotIndex_ = snapshot.index;
    snapshotTerm_ = snapshot.term;
    snapshotMembers_ = snapshot.members;
    snapshotForming_ = snapshot.forming;
    snapshot_ = snapshot;
    encodedSnapshot_.clear();
  });
}

}  // namespace driftlug::consensus
