/// Automatic membership: controllers discover the cluster through any other controller, join as learners and replace
/// lost voters.
#include <algorithm>

#include "controller/controller.h"

namespace driftlug::controller {
namespace {

/// Batches member list updates: while a cluster forms, its members change every few milliseconds.
constexpr base::Duration kMemberListDelay = base::milliseconds(100);

}  // namespace

bool Controller::isMember(const std::string& id) const {
  const auto& members = raft_->members();
  return std::any_of(members.begin(), members.end(), [&](const auto& member) { return member.id == id; });
}

void Controller::setSeeds(std::vector<ControllerAddress> seeds) {
  options_.controllers = std::move(seeds);
  if (raft_) updateLinks();
}

base::Address Controller::leaderHttpAddress() const {
  if (!raft_) return {};
  for (const auto& member : raft_->members()) {
    if (member.id == raft_->leaderId()) return {member.address, member.httpPort};
  }
  return {};
}

wire::MemberList Controller::memberList() const {
  wire::MemberList list;
  list.members = raft_->members();
  return list;
}

void Controller::sendMemberList(base::ConnectionId connection, const wire::Hello& peer) {
  if (!options_.membership.automatic || raft_->members().empty()) return;
  const bool notMember = peer.role == wire::Role::CONTROLLER && !isMember(peer.id);
  if (notMember || peer.role == wire::Role::RELAY) network_.send(connection, wire::encodeFrame(memberList()));
}

void Controller::scheduleMemberListBroadcast() {
  if (!memberListTimer_.running()) memberListTimer_.start(kMemberListDelay);
}

/// Every controller broadcasts, so that a relay can discover the leader through any of them.
void Controller::broadcastMemberList() {
  const bool addressesChanged = memberAddresses_.update(raft_->members());
  for (const auto& [connection, peer] : peers_) {
    if (addressesChanged || peer.role != wire::Role::RELAY) sendMemberList(connection, peer);
  }
}

void Controller::onMemberList(const wire::MemberList& list) {
  if (isMember(identity_)) return;
  discoveredMembers_.clear();
  for (const auto& member : list.members) discoveredMembers_[member.id] = member;
  updateLinks();
}

void Controller::admitNewControllers() {
  // A connected controller that is not a member is added as a learner. It may be a removed member that still has its
  // old log; this is as safe as a blank log, since appends of the leader truncate conflicting entries.
  for (const auto& [connection, peer] : peers_) {
    const bool notMember = peer.role == wire::Role::CONTROLLER && !peer.address.empty() && !isMember(peer.id);
    if (!notMember) continue;
    ControllerAddress address;
    address.name = peer.address;
    address.frames = {peer.address, peer.framePort};
    address.httpPort = peer.httpPort;
    if (raft_->membershipChangePending()) return;
    auto members = raft_->members();
    members.push_back(memberFor(address, peer));
    log_.info("{} adds {} as a learner", identity_, peer.id);
    (void)raft_->proposeMembers(members, raft_->forming());
    return;
  }
}

void Controller::updateLastActive() {
  const auto now = scheduler_.now();
  for (const auto& member : raft_->members()) {
    const bool active = member.id == raft_->id() || raft_->recentlyActive(member.id);
    if (active || lastActive_.count(member.id) == 0) lastActive_[member.id] = now;
  }
}

bool Controller::identityReplaced(const wire::Member& member) const {
  if (member.id == raft_->id()) return false;
  // Another identity at the member's address means that its disk was lost, and its old identity cannot return.
  const auto* hello = links_.helloOf({member.address, member.framePort});
  return hello != nullptr && hello->id != member.id;
}

bool Controller::isLost(const wire::Member& member) const {
  if (identityReplaced(member)) return true;
  const auto lastActive = lastActive_.find(member.id);
  return lastActive != lastActive_.end() && scheduler_.now() - lastActive->second > options_.membership.replaceAfter;
}

/// @return the largest odd number of reachable members, but at least minVoters. With at most one non-voter, any
/// majority of the members contains a majority of the voters, so the part of a partitioned cluster that has most of the
/// members keeps a quorum.
size_t Controller::targetVoterCount() const {
  const auto& members = raft_->members();
  const auto reachable = static_cast<size_t>(std::count_if(members.begin(), members.end(), [&](const auto& member) {
    return !identityReplaced(member) && (member.id == raft_->id() || raft_->recentlyActive(member.id));
  }));
  const size_t odd = reachable % 2 == 1 ? reachable : reachable - 1;
  return std::max(options_.membership.minVoters, odd);
}

const wire::Member* Controller::selectVoterToPromote() const {
  std::map<std::string, int> votersByZone;
  for (const auto& member : raft_->members()) {
    if (member.voting && !isLost(member)) ++votersByZone[member.zone];
  }
  const wire::Member* best = nullptr;
  for (const auto& member : raft_->members()) {
    const bool eligible = !member.voting && raft_->recentlyActive(member.id) && raft_->caughtUp(member.id);
    if (!eligible || identityReplaced(member)) continue;
    if (best == nullptr || votersByZone[member.zone] < votersByZone[best->zone]) best = &member;
  }
  return best;
}

const wire::Member* Controller::selectMemberToRemove() const {
  size_t voters = 0;
  size_t healthyVoters = 0;
  const wire::Member* lostVoter = nullptr;
  for (const auto& member : raft_->members()) {
    const bool memberLost = isLost(member);
    if (!member.voting) {
      const auto inactiveFor = scheduler_.now() - lastActive_.at(member.id);
      if (identityReplaced(member) || inactiveFor > options_.membership.removeLearnerAfter) return &member;
      continue;
    }
    ++voters;
    if (memberLost) lostVoter = &member;
    if (!memberLost && (member.id == raft_->id() || raft_->recentlyActive(member.id))) ++healthyVoters;
  }
  // A lost voter is removed only once enough healthy voters remain.
  const size_t targetVoters = targetVoterCount();
  const bool replaced = lostVoter != nullptr && healthyVoters >= targetVoters;
  const bool replacedIdentity = lostVoter != nullptr && identityReplaced(*lostVoter) && voters > targetVoters;
  return replaced || replacedIdentity ? lostVoter : nullptr;
}

void Controller::manageVoters() {
  updateLastActive();
  if (raft_->forming() || raft_->membershipChangePending()) return;
  auto members = raft_->members();
  const auto entryOf = [&](const wire::Member& subject) {
    return std::find_if(members.begin(), members.end(), [&](const auto& member) { return member.id == subject.id; });
  };
  if (const auto* leaving = selectMemberToRemove(); leaving != nullptr) {
    log_.info("{} removes lost member {}", identity_, leaving->id);
    members.erase(entryOf(*leaving));
    (void)raft_->proposeMembers(members, false);
    return;
  }
  size_t healthyVoters = 0;
  for (const auto& member : members) healthyVoters += member.voting && !isLost(member) ? 1 : 0;
  if (healthyVoters >= targetVoterCount()) return;
  const auto* next = selectVoterToPromote();
  if (next == nullptr) return;
  log_.info("{} promotes {} to voter", identity_, next->id);
  entryOf(*next)->voting = true;
  (void)raft_->proposeMembers(members, false);
}

}  // namespace driftlug::controller
