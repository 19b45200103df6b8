/// Cluster formation, addition and removal of controllers, and registration of relays.
#include <algorithm>

#include "base/error.h"
#include "controller/controller.h"

namespace driftlug::controller {

using base::ErrorCode;
using base::makeError;
using consensus::RaftRole;

namespace {

/// Time after which a new cluster is formed without seeds that are not connected. Processes that start together connect
/// within it, so that these are lost or late.
constexpr base::Duration kSeedGrace = base::seconds(2);
/// Time after which a leader takes edits with fewer voters than the tolerated loss of disks needs, if there are no
/// further controllers: the service has fewer on purpose.
constexpr base::Duration kVoterGrace = base::seconds(3);
/// Time after which a learner of a new cluster that does not respond is taken for lost.
constexpr base::Duration kLearnerGrace = base::seconds(1);

}  // namespace

/// Without automatic membership every initial member must be connected. With it, a seed that is lost for good must not
/// keep the others from starting; a majority is needed, so that a first seed that is cut off forms no cluster alone.
/// Only the first seed does, and only at the first start of all, so that no two clusters are formed.
/// @return whether a cluster may be formed with the seeds that are connected
bool Controller::enoughSeedsAreBlank() const {
  size_t connected = 1;
  for (const auto& controller : options_.controllers) {
    if (controller.name == options_.name) continue;
    const auto* hello = links_.helloOf(controller.frames);
    if (hello == nullptr) continue;
    // If another one already belongs to a cluster, this controller's data folder was lost, and it waits to be added
    // under its new identity.
    if (!hello->blank) return false;
    ++connected;
  }
  if (connected == options_.controllers.size()) return true;
  const bool waited = scheduler_.now() - startedAt_ >= kSeedGrace;
  return options_.membership.automatic && waited && 2 * connected > options_.controllers.size();
}

void Controller::formCluster() {
  if (!options_.mayBootstrap) return;
  const auto* own = ownAddress();
  if (own == nullptr || options_.controllers.front().name != options_.name) return;
  if (!enoughSeedsAreBlank()) return;
  auto member = memberFor(*own, ownHello());
  member.voting = true;
  log_.info("{} forms a new cluster", identity_);
  raft_->bootstrap(member);
  broadcastHello();
}

/// Adds the seeds one by one, and ends the formation once all of them vote. With automatic membership, other
/// controllers take the place of seeds that are lost meanwhile.
void Controller::completeFormation() {
  const bool automatic = options_.membership.automatic;
  updateLastActive();
  auto members = raft_->members();
  for (const auto& controller : options_.controllers) {
    const bool known =
        std::any_of(members.begin(), members.end(), [&](const auto& member) { return member.name == controller.name; });
    if (known) continue;
    const auto* hello = links_.helloOf(controller.frames);
    if (hello == nullptr && !automatic) return;
    if (hello == nullptr) continue;
    members.push_back(memberFor(controller, *hello));
    (void)raft_->proposeMembers(members, true);
    return;
  }
  size_t voters = 0;
  size_t learners = 0;  // without those that are lost
  for (const auto& member : members) {
    voters += member.voting ? 1 : 0;
    learners += !member.voting && isPresent(member) ? 1 : 0;
  }
  const bool allVote = members.size() >= options_.controllers.size() && voters == members.size();
  const bool waited = scheduler_.now() - leadsSince_ >= kVoterGrace;
  const bool enoughVote = learners == 0 && (voters >= options_.membership.minVoters || (allVote && waited));
  if (automatic ? enoughVote : allVote) {
    (void)raft_->proposeMembers(members, false);
  } else if (automatic && voters + learners < options_.membership.minVoters) {
    admitNewControllers();
  }
}

/// @return whether a member was added or has responded lately
bool Controller::isPresent(const wire::Member& member) const {
  const auto lastActive = lastActive_.find(member.id);
  return lastActive != lastActive_.end() && scheduler_.now() - lastActive->second < kLearnerGrace;
}

bool Controller::takesEdits() const {
  // Later losses of voters are made up for by their replacement; edits go on meanwhile.
  if (state_.table().revision() > 0) return true;
  if (raft_->forming()) return false;
  if (!options_.membership.automatic) return true;
  size_t voters = 0;
  bool moreWillVote = false;
  for (const auto& member : raft_->members()) {
    voters += member.voting ? 1 : 0;
    moreWillVote = moreWillVote || (!member.voting && isPresent(member));
  }
  const bool alone = !moreWillVote && scheduler_.now() - leadsSince_ >= kVoterGrace;
  return voters >= options_.membership.minVoters || alone;
}

void Controller::promoteLearners() {
  if (raft_->membershipChangePending()) return;
  auto members = raft_->members();
  for (const auto& [name, address] : pendingAdditions_) {
    const auto* hello = links_.helloOf(address.frames);
    if (hello == nullptr || !hello->blank) continue;
    members.push_back(memberFor(address, *hello));
    if (raft_->proposeMembers(members, raft_->forming()).ok()) pendingAdditions_.erase(name);
    return;
  }
  for (auto& member : members) {
    if (member.voting || !raft_->recentlyActive(member.id) || !raft_->caughtUp(member.id)) continue;
    member.voting = true;
    (void)raft_->proposeMembers(members, raft_->forming());
    return;
  }
}

absl::Status Controller::addController(const ControllerAddress& address) {
  if (!raft_ || raft_->role() != RaftRole::kLeader)
    return makeError(ErrorCode::kNotLeader, "this controller does not lead");
  for (const auto& member : raft_->members()) {
    if (member.name == address.name) return makeError(ErrorCode::kNotAccepted, "a controller of that name is a member");
  }
  pendingAdditions_[address.name] = address;
  updateLinks();
  return absl::OkStatus();
}

absl::Status Controller::removeController(const std::string& name) {
  if (!raft_ || raft_->role() != RaftRole::kLeader)
    return makeError(ErrorCode::kNotLeader, "this controller does not lead");
  auto members = raft_->members();
  const auto leaving =
      std::find_if(members.begin(), members.end(), [&](const auto& member) { return member.name == name; });
  if (leaving == members.end()) return makeError(ErrorCode::kRowNotFound, "no controller of that name");
  if (leaving->voting) {
    // All remaining voters must be active and caught up; if the removed one is inactive, a majority of them suffices.
    size_t remaining = 0;
    size_t healthy = 0;
    for (const auto& member : members) {
      if (!member.voting || member.id == leaving->id) continue;
      ++remaining;
      const bool current = member.id == raft_->id() || raft_->caughtUp(member.id);
      if (raft_->recentlyActive(member.id) && current) ++healthy;
    }
    if (remaining == 0) return makeError(ErrorCode::kNotAccepted, "the last voter can't be removed");
    const bool leavingActive = raft_->recentlyActive(leaving->id);
    if (healthy * 2 <= remaining || (leavingActive && healthy < remaining)) {
      return makeError(ErrorCode::kNotAccepted, "the remaining voters are not all there and caught up");
    }
  }
  pendingAdditions_.erase(name);
  members.erase(leaving);
  return raft_->proposeMembers(members, false);
}

wire::Member Controller::memberFor(const ControllerAddress& address, const wire::Hello& hello) const {
  wire::Member member;
  member.id = hello.id;
  member.name = address.name;
  member.address = address.frames.host;
  member.framePort = address.frames.port;
  member.httpPort = address.httpPort;
  member.relayPort = hello.relayPort;
  member.zone = hello.zone;
  return member;
}

const ControllerAddress* Controller::ownAddress() const {
  for (const auto& controller : options_.controllers) {
    if (controller.name == options_.name) return &controller;
  }
  return nullptr;
}

void Controller::onMembers(const wire::LogEntry& entry) {
  updateLinks();
  scheduleMemberListBroadcast();
  for (const auto& member : entry.members) {
    log_.debug("{}: member {} is a {} since index {}", identity_, member.id, member.voting ? "voter" : "learner",
               entry.index);
  }
}

void Controller::updateLinks() {
  std::set<base::Address> addresses;
  for (const auto& controller : options_.controllers) {
    if (controller.name != options_.name) addresses.insert(controller.frames);
  }
  for (const auto& member : raft_->members()) {
    if (member.name != options_.name) addresses.insert({member.address, member.framePort});
  }
  for (const auto& [name, address] : pendingAdditions_) addresses.insert(address.frames);
  if (!isMember(identity_)) {
    for (const auto& [id, member] : discoveredMembers_) {
      if (member.name != options_.name) addresses.insert({member.address, member.framePort});
    }
  }
  links_.setAddresses(addresses);
}

void Controller::updateRegisteredRelays() {
  std::set<std::string> relayIds;
  for (const auto& [id, record] : state_.relays()) relayIds.insert(id);
  convergence_.setRegistered(relayIds);
}

void Controller::registerRelay(const wire::Hello& hello) {
  if (state_.relays().count(hello.id) > 0) return;
  wire::LogEntry entry;
  entry.kind = wire::EntryKind::RELAY;
  entry.__isset.relay = true;
  entry.relay.id = hello.id;
  entry.relay.zone = hello.zone;
  (void)raft_->propose(entry);
}

void Controller::removeExpiredRelays() {
  for (const auto& relayId : convergence_.inactiveRelays(options_.relayRegistration)) {
    wire::LogEntry entry;
    entry.kind = wire::EntryKind::RELAY;
    entry.__isset.relay = true;
    entry.relay.id = relayId;
    entry.relay.removed = true;
    (void)raft_->propose(entry);
  }
}

}  // namespace driftlug::controller
