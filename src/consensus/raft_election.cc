/// Elections: pre-vote, votes, terms and leadership transfer.
#include <algorithm>

#include "consensus/raft.h"

namespace driftlug::consensus {

bool Raft::isVoter(const std::string& memberId) const {
  return std::any_of(members_.begin(), members_.end(),
                     [&](const auto& member) { return member.id == memberId && member.voting; });
}

bool Raft::hasQuorum(const std::set<std::string>& ids) const {
  size_t voters = 0;
  size_t present = 0;
  for (const auto& member : members_) {
    if (!member.voting) continue;
    ++voters;
    present += ids.count(member.id);
  }
  return present * 2 > voters;
}

/// A member that has just started does not know the leader, so it starts pre-votes early and in short intervals. If
/// there is a leader, they are rejected; after a restart of all members, the first majority does not have to wait for a
/// full timeout. After its first election a member uses the normal timeout, so that slow members do not keep
/// interrupting each other's elections.
void Raft::startInitialElectionTimer() {
  const auto interval = std::min(options_.electionTimeout, 2 * options_.heartbeatInterval);
  electionTimer_.start(interval + random_.duration(interval));
}

void Raft::resetElectionTimer() {
  electionTimer_.start(options_.electionTimeout + random_.duration(options_.electionTimeout));
}

void Raft::onElectionTimeout() {
  if (awaitingFirstContact_) {
    startInitialElectionTimer();
  } else {
    resetElectionTimer();
  }
  if (role_ == RaftRole::kLeader) {
    checkQuorum();
    return;
  }
  if (!isVoter(id_) || store_.failed()) return;
  if (!leaderId_.empty()) {
    // After a stall of this process, the leader's heartbeats may not have been read yet.
    if (scheduler_.inputReadUntil() - lastLeaderContact_ < options_.electionTimeout) return;
    log_.info("{} received nothing from {}, leader of term {}, for {} ms", id_, leaderId_, hardState_.term,
              base::millisecondsOf(scheduler_.now() - lastLeaderContact_));
  }
  startElection(true, false);
}

/// @return whether the term and the vote were written; a full disk may reject them and accept later writes.
bool Raft::saveHardState() {
  hardStateSaved_ = store_.saveHardState(hardState_).ok();
  if (!hardStateSaved_) log_.error("term {} could not be written", hardState_.term);
  return hardStateSaved_;
}

void Raft::setTerm(int64_t term, const std::string& votedFor) {
  hardState_.term = term;
  hardState_.votedFor = votedFor;
  saveHardState();
}

void Raft::startElection(bool preVote, bool transfer) {
  if (store_.failed()) return;
  preVoting_ = preVote;
  votes_.clear();
  const int64_t term = hardState_.term + 1;
  if (!preVote) {
    awaitingFirstContact_ = false;
    role_ = RaftRole::kCandidate;
    leaderId_.clear();
    setTerm(term, id_);
    resetElectionTimer();
  }
  wire::VoteRequest request;
  request.term = term;
  request.candidate = id_;
  request.lastIndex = lastIndex();
  request.lastTerm = *termAt(lastIndex());
  request.preVote = preVote;
  request.transfer = transfer;
  const auto sendRequests = [this, request] {
    const bool outdated = request.preVote ? hardState_.term + 1 != request.term : hardState_.term != request.term;
    if (outdated || role_ == RaftRole::kLeader) return;
    for (const auto& member : members_) {
      if (member.voting && member.id != id_) sendTo(member.id, request);
    }
    wire::VoteResponse own;
    own.term = request.term;
    own.granted = true;
    own.preVote = request.preVote;
    onVoteResponse(id_, own);
  };
  if (preVote) return sendRequests();
  afterSync(sendRequests);
}

bool Raft::candidateIsUpToDate(const wire::VoteRequest& request) const {
  const int64_t lastTerm = *termAt(lastIndex());
  if (request.lastTerm != lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= lastIndex();
}

void Raft::onVoteRequest(const std::string& from, const wire::VoteRequest& request) {
  if (store_.failed()) return;
  const bool leaderIsFresh = role_ == RaftRole::kLeader ||
                             (!leaderId_.empty() && scheduler_.now() - lastLeaderContact_ < options_.electionTimeout);
  wire::VoteResponse response;
  response.preVote = request.preVote;
  response.term = request.preVote ? request.term : std::max(request.term, hardState_.term);
  if (request.preVote) {
    response.granted = !leaderIsFresh && request.term > hardState_.term && candidateIsUpToDate(request);
    // A rejection contains this member's own term, so that the candidate does not adopt the requested term.
    if (!response.granted) response.term = hardState_.term;
    sendTo(from, response);
    return;
  }
  awaitingFirstContact_ = false;
  // A member that was removed or partitioned away must not disrupt a leader that has a quorum.
  if (leaderIsFresh && !request.transfer && request.term > hardState_.term) return;
  if (request.term > hardState_.term) becomeFollower(request.term, "");
  const bool voteAvailable = hardState_.votedFor.empty() || hardState_.votedFor == request.candidate;
  response.term = hardState_.term;
  response.granted = request.term == hardState_.term && voteAvailable && candidateIsUpToDate(request);
  if (!response.granted) {
    sendTo(from, response);
    return;
  }
  if (hardState_.votedFor.empty()) setTerm(hardState_.term, request.candidate);
  resetElectionTimer();
  afterSync([this, from, response] { sendTo(from, response); });
}

void Raft::onVoteResponse(const std::string& from, const wire::VoteResponse& response) {
  if (!response.granted) {
    if (response.term > hardState_.term) becomeFollower(response.term, "");
    return;
  }
  if (role_ == RaftRole::kLeader || response.preVote != preVoting_) return;
  const int64_t expected = response.preVote ? hardState_.term + 1 : hardState_.term;
  if (response.term != expected) return;
  if (!response.preVote && role_ != RaftRole::kCandidate) return;
  votes_.insert(from);
  if (!hasQuorum(votes_)) return;
  if (response.preVote) return startElection(false, false);
  becomeLeader();
}

void Raft::becomeFollower(int64_t term, const std::string& leader) {
  appendFrame_ = nullptr;
  const bool changed = role_ != RaftRole::kFollower || leaderId_ != leader;
  if (term > hardState_.term) setTerm(term, "");
  role_ = RaftRole::kFollower;
  leaderId_ = leader;
  transferring_ = false;
  preVoting_ = false;
  votes_.clear();
  progress_.clear();
  heartbeatTimer_.stop();
  resetElectionTimer();
  failConfirms();
  if (changed) listener_.onLeadership(role_);
}

void Raft::becomeLeader() {
  role_ = RaftRole::kLeader;
  leaderId_ = id_;
  votes_.clear();
  progress_.clear();
  round_ = 0;
  confirmedRound_ = 0;
  roundStartedAt_.clear();
  leaseStart_.reset();
  lastQuorumContact_ = scheduler_.now();
  for (const auto& member : members_) {
    if (member.id == id_) continue;
    Progress newProgress;
    newProgress.nextIndex = lastIndex() + 1;
    progress_[member.id] = newProgress;
  }
  log_.info("{} leads term {}", id_, hardState_.term);
  termStartIndex_ = lastIndex() + 1;
  listener_.onLeadership(role_);
  wire::LogEntry noop;
  noop.kind = wire::EntryKind::NOOP;
  if (!propose(noop).ok()) return becomeFollower(hardState_.term, "");
  onHeartbeatTimer();
}

void Raft::transferLeadership() {
  if (role_ != RaftRole::kLeader) return;
  const std::string* target = nullptr;
  int64_t best = -1;
  for (const auto& [memberId, progress] : progress_) {
    if (!isVoter(memberId) || !recentlyActive(memberId) || progress.matchIndex <= best) continue;
    best = progress.matchIndex;
    target = &memberId;
  }
  if (target == nullptr) return;
  transferring_ = true;
  wire::TimeoutNow now;
  now.term = hardState_.term;
  sendTo(*target, now);
}

}  // namespace driftlug::consensus
