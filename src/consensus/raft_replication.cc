/// Replication: appends, commit, quorum checks and snapshots.
#include <algorithm>

#include "base/error.h"
#include "consensus/raft.h"
#include "wire/bulk_frames.h"

namespace driftlug::consensus {

void Raft::onHeartbeatTimer() {
  heartbeatTimer_.start(options_.heartbeatInterval);
  ++round_;
  roundStartedAt_[round_] = scheduler_.now();
  checkQuorum();
  if (role_ == RaftRole::kLeader) broadcast();
  if (role_ == RaftRole::kLeader) confirmRounds();
}

void Raft::broadcast() {
  for (auto& [memberId, progress] : progress_) sendAppend(memberId, &progress);
}

void Raft::sendAppend(const std::string& memberId, Progress* progress) {
  const auto previousTerm = termAt(progress->nextIndex - 1);
  if (!previousTerm) return sendSnapshotChunk(memberId, progress);
  progress->snapshotOffset.reset();
  AppendContent content;
  content.term = hardState_.term;
  content.round = round_;
  content.commitIndex = commitIndex_;
  content.previousIndex = progress->nextIndex - 1;
  content.lastIndex = batchEnd(content.previousIndex);
  progress->nextIndex = content.lastIndex + 1;
  transport_.sendTo(memberId, encodeAppend(content, *previousTerm));
}

/// @return the index of the last entry in an append that starts after an index.
int64_t Raft::batchEnd(int64_t previousIndex) const {
  const auto lastAllowed = std::min(lastIndex(), previousIndex + static_cast<int64_t>(options_.maxBatchEntries));
  size_t rows = 0;
  for (auto index = previousIndex + 1; index <= lastAllowed; ++index) {
    rows += entryAt(index).edit.mutations.size();
    if (rows > options_.maxBatchRows) return std::max(previousIndex + 1, index - 1);
  }
  return lastAllowed;
}

/// Reuses the last frame if the content is the same: encoding a large entry separately for many members could delay
/// a leader on a slow machine past their election timeout.
wire::FramePtr Raft::encodeAppend(const AppendContent& content, int64_t previousTerm) {
  if (appendFrame_ && content == appendContent_) return appendFrame_;
  wire::AppendRequest request;
  request.term = content.term;
  request.leader = id_;
  request.previousIndex = content.previousIndex;
  request.previousTerm = previousTerm;
  request.commitIndex = content.commitIndex;
  request.round = content.round;
  std::vector<const wire::LogEntry*> entries;
  for (auto index = content.previousIndex + 1; index <= content.lastIndex; ++index) entries.push_back(&entryAt(index));
  appendContent_ = content;
  appendFrame_ = wire::encodeAppendRequest(request, entries);
  return appendFrame_;
}

void Raft::sendTo(const std::string& memberId, const wire::Message& message) {
  transport_.sendTo(memberId, wire::encodeFrame(message));
}

void Raft::onAppendRequest(const std::string& from, wire::AppendRequest request) {
  if (request.term < hardState_.term) return answerAppend(from, request, false, lastIndex());
  if (request.term > hardState_.term || role_ != RaftRole::kFollower || leaderId_ != from) {
    becomeFollower(request.term, from);
  }
  lastLeaderContact_ = scheduler_.now();
  awaitingFirstContact_ = false;
  resetElectionTimer();
  if (store_.failed() || installing_) return;
  if (request.previousIndex < snapshotIndex_) return answerAppend(from, request, false, commitIndex_);
  const auto previousTerm = termAt(request.previousIndex);
  if (!previousTerm) return answerAppend(from, request, false, lastIndex());
  if (*previousTerm != request.previousTerm) {
    return answerAppend(from, request, false, std::max(commitIndex_, request.previousIndex - 1));
  }
  acceptEntries(from, std::move(request));
}

void Raft::acceptEntries(const std::string& from, wire::AppendRequest request) {
  const int64_t match = request.previousIndex + static_cast<int64_t>(request.entries.size());
  const int64_t commit = std::min(request.commitIndex, match);
  const auto isNew = [this](const wire::LogEntry& entry) { return termAt(entry.index) != entry.term; };
  const auto firstNew = std::find_if(request.entries.begin(), request.entries.end(), isNew);
  if (firstNew != request.entries.end()) {
    std::vector<wire::LogEntry> added(std::make_move_iterator(firstNew),
                                      std::make_move_iterator(request.entries.end()));
    if (!appendNew(std::move(added)).ok()) return;
  }
  request.entries.clear();
  const auto finish = [this, from, request, match, epoch = logEpoch_] {
    if (epoch != logEpoch_ || hardState_.term != request.term) return;
    durableIndex_ = std::max(durableIndex_, match);
    answerAppend(from, request, true, match);
  };
  if (match <= durableIndex_) {
    finish();
  } else {
    afterSync(finish);
  }
  if (commit <= commitIndex_) return;
  commitIndex_ = commit;
  applyCommitted();
}

/// Appends entries; truncates the log first if it has conflicting entries at these indexes.
absl::Status Raft::appendNew(std::vector<wire::LogEntry> entries) {
  if (entries.front().index <= lastIndex()) truncateFrom(entries.front().index);
  if (auto status = store_.append(entries); !status.ok()) return status;
  blank_ = false;
  for (auto& entry : entries) {
    entries_.push_back(std::move(entry));
    if (entries_.back().kind == wire::EntryKind::MEMBERS) adoptMembers(entries_.back());
  }
  return absl::OkStatus();
}

void Raft::answerAppend(const std::string& to, const wire::AppendRequest& request, bool success, int64_t matchIndex) {
  wire::AppendResponse response;
  response.term = hardState_.term;
  response.success = success;
  response.matchIndex = matchIndex;
  response.round = request.round;
  sendTo(to, response);
}

void Raft::onAppendResponse(const std::string& from, const wire::AppendResponse& response) {
  if (response.term > hardState_.term) return becomeFollower(response.term, "");
  if (role_ != RaftRole::kLeader || response.term < hardState_.term) return;
  const auto found = progress_.find(from);
  if (found == progress_.end()) return;
  auto& progress = found->second;
  progress.lastResponseAt = scheduler_.now();
  progress.confirmedRound = std::max(progress.confirmedRound, response.round);
  if (!response.success) {
    progress.nextIndex = std::clamp<int64_t>(response.matchIndex + 1, 1, std::max<int64_t>(1, progress.nextIndex - 1));
    sendAppend(from, &progress);
    confirmRounds();
    return;
  }
  progress.matchIndex = std::max(progress.matchIndex, response.matchIndex);
  progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
  if (progress.nextIndex <= lastIndex()) sendAppend(from, &progress);
  advanceCommit();
  if (role_ == RaftRole::kLeader) confirmRounds();
}

int64_t Raft::quorumValue(const std::function<int64_t(const std::string&)>& valueOf) const {
  std::vector<int64_t> values;
  for (const auto& member : members_) {
    if (member.voting) values.push_back(valueOf(member.id));
  }
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end(), std::greater<>());
  return options_.quorumCommit ? values[values.size() / 2] : values.front();
}

void Raft::advanceCommit() {
  if (role_ != RaftRole::kLeader) return;
  const int64_t index = quorumValue([this](const std::string& memberId) {
    if (memberId == id_) return durableIndex_;
    const auto found = progress_.find(memberId);
    return found == progress_.end() ? int64_t{0} : found->second.matchIndex;
  });
  if (index <= commitIndex_ || termAt(index) != hardState_.term) return;
  commitIndex_ = index;
  if (options_.announceCommits) announceCommit();
  applyCommitted();
  if (role_ != RaftRole::kLeader) return;
  // A removed leader steps down after it has sent the commit of its removal to the others.
  if (!isVoter(id_) && membersIndex_ <= commitIndex_) {
    broadcast();
    becomeFollower(hardState_.term, "");
  }
}

/// Combines all commits of one event loop iteration into one broadcast.
void Raft::announceCommit() {
  if (commitAnnouncementScheduled_) return;
  commitAnnouncementScheduled_ = true;
  scheduler_.schedule(base::Duration(0), [this, alive = alive_] {
    if (!*alive) return;
    commitAnnouncementScheduled_ = false;
    if (role_ == RaftRole::kLeader) broadcast();
  });
}

void Raft::checkQuorum() {
  if (role_ != RaftRole::kLeader) return;
  std::set<std::string> active;
  for (const auto& member : members_) {
    if (recentlyActive(member.id)) active.insert(member.id);
  }
  const auto readUntil = scheduler_.inputReadUntil();
  if (hasQuorum(active)) lastQuorumContact_ = readUntil;
  if (!options_.checkQuorum || readUntil - lastQuorumContact_ < options_.electionTimeout * 2) return;
  log_.warn("{} lost its quorum in term {} and steps down", id_, hardState_.term);
  becomeFollower(hardState_.term, "");
}

void Raft::confirmRounds() {
  if (role_ != RaftRole::kLeader) return;
  const int64_t confirmed = quorumValue([this](const std::string& memberId) {
    if (memberId == id_) return round_;
    const auto found = progress_.find(memberId);
    return found == progress_.end() ? int64_t{0} : found->second.confirmedRound;
  });
  const bool advanced = confirmed > confirmedRound_;
  confirmedRound_ = std::max(confirmedRound_, confirmed);
  if (const auto started = roundStartedAt_.find(confirmedRound_); started != roundStartedAt_.end()) {
    leaseStart_ = started->second;
    roundStartedAt_.erase(roundStartedAt_.begin(), std::next(started));
  }
  std::vector<ConfirmCallback> confirmedCallbacks;
  std::erase_if(pendingConfirms_, [&](auto& pending) {
    if (pending.round > confirmedRound_ || pending.index > appliedIndex_) return false;
    confirmedCallbacks.push_back(std::move(pending.done));
    return true;
  });
  for (const auto& done : confirmedCallbacks) done(true);
  if (advanced) listener_.onProgress();
}

bool Raft::holdsLease() const {
  /// Duration of the lease in percent of the election timeout; the rest is a margin for clock drift.
  constexpr int kLeasePercent = 90;
  if (role_ != RaftRole::kLeader || transferring_ || !leaseStart_) return false;
  return scheduler_.now() - *leaseStart_ < options_.electionTimeout * kLeasePercent / 100;
}

void Raft::failConfirms() {
  std::vector<PendingConfirm> failed;
  failed.swap(pendingConfirms_);
  for (const auto& pending : failed) pending.done(false);
}

void Raft::sendSnapshotChunk(const std::string& memberId, Progress* progress) {
  const auto now = scheduler_.now();
  const bool waiting = progress->snapshotOffset && now - progress->lastChunkSentAt < options_.electionTimeout;
  if (waiting) return;
  if (encodedSnapshot_.empty()) encodedSnapshot_ = wire::encodeStruct(snapshot_);
  if (!progress->snapshotOffset) progress->snapshotOffset = 0;
  progress->lastChunkSentAt = now;
  wire::SnapshotChunk chunk;
  chunk.term = hardState_.term;
  chunk.leader = id_;
  chunk.lastIndex = snapshotIndex_;
  chunk.lastTerm = snapshotTerm_;
  chunk.offset = *progress->snapshotOffset;
  chunk.totalBytes = static_cast<int64_t>(encodedSnapshot_.size());
  chunk.data = encodedSnapshot_.substr(static_cast<size_t>(chunk.offset), options_.snapshotChunkBytes);
  sendTo(memberId, chunk);
}

void Raft::onSnapshotChunk(const std::string& from, const wire::SnapshotChunk& chunk) {
  if (chunk.term < hardState_.term) return;
  if (chunk.term > hardState_.term || role_ != RaftRole::kFollower || leaderId_ != from) {
    becomeFollower(chunk.term, from);
  }
  lastLeaderContact_ = scheduler_.now();
  awaitingFirstContact_ = false;
  resetElectionTimer();
  if (store_.failed()) return;
  if (chunk.lastIndex != incomingSnapshotIndex_ || chunk.lastTerm != incomingSnapshotTerm_) {
    incomingSnapshot_.clear();
    incomingSnapshotIndex_ = chunk.lastIndex;
    incomingSnapshotTerm_ = chunk.lastTerm;
  }
  // A chunk at another offset is dropped; the acknowledgement contains the offset to continue from.
  if (chunk.offset == static_cast<int64_t>(incomingSnapshot_.size())) incomingSnapshot_ += chunk.data;
  const bool complete = static_cast<int64_t>(incomingSnapshot_.size()) >= chunk.totalBytes;
  if (complete && chunk.lastIndex > commitIndex_) return installSnapshot(from, chunk);
  wire::SnapshotChunkAck ack;
  ack.term = hardState_.term;
  ack.lastIndex = chunk.lastIndex;
  ack.nextOffset = static_cast<int64_t>(incomingSnapshot_.size());
  sendTo(from, ack);
}

void Raft::installSnapshot(const std::string& from, const wire::SnapshotChunk& last) {
  auto snapshot = wire::decodeStruct<wire::LogSnapshot>(incomingSnapshot_);
  incomingSnapshot_.clear();
  incomingSnapshotIndex_ = 0;
  if (!snapshot.ok() || compacting_) return;
  compacting_ = true;
  installing_ = true;
  const auto keepsTail = termAt(snapshot->index) == snapshot->term;
  const auto carry = [this, index = snapshot->index, keepsTail] {
    storage::CarriedState carried;
    carried.hardState = hardState_;
    for (const auto& entry : entries_) {
      if (keepsTail && entry.index > index) carried.entries.push_back(entry);
    }
    return carried;
  };
  store_.saveSnapshot(*snapshot, carry,
                      [this, alive = alive_, from, snapshot = *snapshot, last, keepsTail](const absl::Status& status) {
                        if (!*alive) return;
                        compacting_ = false;
                        installing_ = false;
                        if (!status.ok() || snapshot.index <= commitIndex_) return;
                        if (keepsTail) {
                          while (!entries_.empty() && entries_.front().index <= snapshot.index) entries_.pop_front();
                        } else {
                          entries_.clear();
                          ++logEpoch_;
                        }
                        blank_ = false;
                        snapshot_ = snapshot;
                        encodedSnapshot_.clear();
                        snapshotIndex_ = snapshot.index;
                        snapshotTerm_ = snapshot.term;
                        snapshotMembers_ = snapshot.members;
                        snapshotForming_ = snapshot.forming;
                        commitIndex_ = snapshot.index;
                        appliedIndex_ = snapshot.index;
                        appliedWeight_ = 0;
                        durableIndex_ = std::max(durableIndex_, snapshot.index);
                        if (!keepsTail) durableIndex_ = snapshot.index;
                        recomputeMembers();
                        listener_.restore(snapshot.state);
                        listener_.onProgress();
                        wire::SnapshotChunkAck ack;
                        ack.term = hardState_.term;
                        ack.lastIndex = last.lastIndex;
                        ack.nextOffset = last.totalBytes;
                        sendTo(from, ack);
                      });
}

void Raft::onSnapshotAck(const std::string& from, const wire::SnapshotChunkAck& ack) {
  if (ack.term > hardState_.term) return becomeFollower(ack.term, "");
  const auto found = progress_.find(from);
  if (role_ != RaftRole::kLeader || found == progress_.end()) return;
  auto& progress = found->second;
  progress.lastResponseAt = scheduler_.now();
  if (!progress.snapshotOffset) return;
  progress.lastChunkSentAt = base::TimePoint{};
  if (ack.lastIndex != snapshotIndex_) {
    progress.snapshotOffset = 0;
  } else if (ack.nextOffset >= static_cast<int64_t>(encodedSnapshot_.size())) {
    progress.snapshotOffset.reset();
    progress.matchIndex = std::max(progress.matchIndex, ack.lastIndex);
    progress.nextIndex = ack.lastIndex + 1;
  } else {
    progress.snapshotOffset = ack.nextOffset;
  }
  sendAppend(from, &progress);
}

}  // namespace driftlug::consensus
