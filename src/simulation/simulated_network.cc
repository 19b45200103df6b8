#include "simulation/simulated_network.h"

#include <xxhash.h>

#include <algorithm>

namespace driftlug::simulation {

namespace {

constexpr size_t kSweepFactor = 2;

}  // namespace

void SimulatedNetwork::mixTrace(uint64_t value) {
  const uint64_t words[2] = {traceHash_, value};
  traceHash_ = XXH3_64bits(words, sizeof(words));
}

void SimulatedNetwork::listen(ProcessNetwork* network) {
  listeners_[network->process().address()] = network;
  network->listening_ = true;
}

base::Duration SimulatedNetwork::latency(const Placement& from, const Placement& to) {
  auto base = options_.sameZone;
  if (from.region != to.region) {
    base = options_.betweenRegions;
  } else if (from.zone != to.zone) {
    base = options_.betweenZones;
  }
  const double factor = latencyFactor_ * (1 + options_.jitter * random_.unit());
  auto delay = base::Duration(static_cast<int64_t>(static_cast<double>(base.count()) * factor));
  if (loss_ > 0 && random_.chance(loss_)) delay += options_.retransmit;
  return delay;
}

void SimulatedNetwork::setCut(const std::string& from, const std::string& to, bool cut) {
  if (cut) {
    cuts_.insert({from, to});
  } else if (cuts_.erase({from, to}) > 0) {
    releaseHeldFrames();
  }
}

void SimulatedNetwork::setRegionCut(const std::string& region, bool cut) {
  if (cut) {
    cutRegions_.insert(region);
  } else if (cutRegions_.erase(region) > 0) {
    releaseHeldFrames();
  }
}

bool SimulatedNetwork::isCut(const Process& from, const Process& to) const {
  if (!cuts_.empty() && cuts_.count({from.name(), to.name()}) > 0) return true;
  if (cutRegions_.empty() || from.placement().region == to.placement().region) return false;
  return cutRegions_.count(from.placement().region) > 0 || cutRegions_.count(to.placement().region) > 0;
}

bool SimulatedNetwork::cutBetween(const Connection& connection, int toSide) const {
  const auto* from = connection.sides[1 - toSide].process;
  const auto* to = connection.sides[toSide].process;
  return from != nullptr && to != nullptr && isCut(*from, *to);
}

void SimulatedNetwork::releaseHeldFrames() {
  for (const auto& weak : connections_) {
    const auto connection = weak.lock();
    if (!connection) continue;
    for (int side = 0; side < 2; ++side) {
      auto& target = connection->sides[side];
      if (target.held.empty() || cutBetween(*connection, side)) continue;
      std::deque<InTransit> held;
      held.swap(target.held);
      for (auto& item : held) deliver(connection, side, std::move(item));
    }
  }
}

void SimulatedNetwork::deliver(const ConnectionPtr& connection, int toSide, InTransit item) {
  auto& target = connection->sides[toSide];
  if (target.network == nullptr) return;
  if (!target.held.empty() || cutBetween(*connection, toSide)) {
    target.held.push_back(std::move(item));
    return;
  }
  const auto* sender = connection->sides[1 - toSide].process;
  const auto& toPlace = target.process->placement();
  const auto delay = latency(sender == nullptr ? toPlace : sender->placement(), toPlace);
  target.lastArrival = std::max(target.lastArrival, queue_.now() + delay);
  queue_.at(target.lastArrival, [this, connection, toSide, item = std::move(item)]() mutable {
    auto& side = connection->sides[toSide];
    if (side.network == nullptr) return;
    side.network->process_.run(
        side.incarnation, [this, connection, toSide, item = std::move(item)] { arrive(connection, toSide, item); });
  });
}

void SimulatedNetwork::arrive(const ConnectionPtr& connection, int toSide, const InTransit& item) {
  auto& side = connection->sides[toSide];
  if (item.frame) side.queued -= std::min(side.queued, item.frame->size());
  if (side.network == nullptr || side.closed) return;
  auto* network = side.network;
  mixTrace(static_cast<uint64_t>(queue_.now().time_since_epoch().count()));
  switch (item.kind) {
    case EventKind::kOpen:
      network->handler_->onOpen(side.id, item.hello);
      break;
    case EventKind::kFrame: {
      if (options_.hashFrames) mixTrace(XXH3_64bits(item.frame->data(), item.frame->size()));
      auto message = wire::decodeFrame(std::string_view(*item.frame).substr(wire::kLengthBytes));
      if (message.ok()) network->handler_->onMessage(side.id, std::move(*message));
      break;
    }
    case EventKind::kClose:
      side.closed = true;
      side.network = nullptr;
      network->ends_.erase(side.id);
      network->handler_->onClose(side.id);
      break;
  }
}

void SimulatedNetwork::closeFrom(const ConnectionPtr& connection, int side) {
  auto& own = connection->sides[side];
  if (own.closed) return;
  own.closed = true;
  own.held.clear();
  if (!connection->sides[1 - side].closed) deliver(connection, 1 - side, {EventKind::kClose, nullptr, {}});
  own.network = nullptr;
}

void SimulatedNetwork::completeConnect(const ConnectionPtr& connection, const base::Address& address) {
  auto& caller = connection->sides[0];
  const auto found = listeners_.find(address);
  if (caller.closed || caller.network == nullptr) return;
  if (found == listeners_.end()) {
    deliver(connection, 0, {EventKind::kClose, nullptr, {}});
    return;
  }
  auto* callee = found->second;
  auto& side = connection->sides[1];
  side.process = &callee->process_;
  side.network = callee;
  side.incarnation = callee->process_.incarnation();
  side.id = callee->nextId_++;
  side.address = address;
  callee->ends_[side.id] = {connection, 1};
  deliver(connection, 0, {EventKind::kOpen, nullptr, callee->hello_});
  // The caller's Hello arrives one round trip after the connection was accepted.
  const auto roundTrip = latency(callee->process_.placement(), caller.network->process_.placement()) +
                         latency(caller.network->process_.placement(), callee->process_.placement());
  side.lastArrival = queue_.now() + roundTrip;
  deliver(connection, 1, {EventKind::kOpen, nullptr, caller.network->hello_});
}

void SimulatedNetwork::onProcessExit(ProcessNetwork* network, bool silent) {
  const auto found = listeners_.find(network->process().address());
  if (found != listeners_.end() && found->second == network) listeners_.erase(found);
  for (const auto& [id, end] : network->ends_) {
    auto& own = end.connection->sides[end.side];
    auto& peer = end.connection->sides[1 - end.side];
    own.closed = true;
    own.held.clear();
    if (!silent && !peer.closed) deliver(end.connection, 1 - end.side, {EventKind::kClose, nullptr, {}});
    own.network = nullptr;
  }
  network->ends_.clear();
}

ProcessNetwork::~ProcessNetwork() {
  constexpr bool kSilent = true;
  network_.onProcessExit(this, kSilent);
}

base::ConnectionId ProcessNetwork::connect(const base::Address& address) {
  const auto id = nextId_++;
  auto connection = std::make_shared<SimulatedNetwork::Connection>();
  connection->sides[0].process = &process_;
  connection->sides[0].network = this;
  connection->sides[0].incarnation = process_.incarnation();
  connection->sides[0].id = id;
  ends_[id] = {connection, 0};
  auto& all = network_.connections_;
  all.push_back(connection);
  if (all.size() >= network_.sweepAt_) {
    all.erase(std::remove_if(all.begin(), all.end(), [](const auto& weak) { return weak.expired(); }), all.end());
    network_.sweepAt_ = std::max<size_t>(network_.sweepAt_, kSweepFactor * all.size());
  }
  const auto found = network_.listeners_.find(address);
  const bool known = found != network_.listeners_.end();
  const bool blocked =
      known && (network_.isCut(process_, found->second->process_) || network_.isCut(found->second->process_, process_));
  if (!known || blocked || found->second->process_.frozen()) {
    // The attempt fails: at once if no process listens at the address, after a timeout if the peer is partitioned or
    // frozen.
    const auto wait = known ? network_.options_.connectTimeout : 2 * network_.options_.betweenZones;
    network_.queue_.after(wait, [connection, network = &network_] {
      auto& own = connection->sides[0];
      if (own.network != nullptr) network->deliver(connection, 0, {SimulatedNetwork::EventKind::kClose, nullptr, {}});
    });
    return id;
  }
  const auto delay = network_.latency(process_.placement(), found->second->process_.placement());
  network_.queue_.after(delay,
                        [connection, address, network = &network_] { network->completeConnect(connection, address); });
  return id;
}

void ProcessNetwork::send(base::ConnectionId id, const wire::FramePtr& frame) {
  process_.runAfterCurrentEvent([this, id, frame] { transmit(id, frame); });
}

void ProcessNetwork::transmit(base::ConnectionId id, const wire::FramePtr& frame) {
  const auto found = ends_.find(id);
  if (found == ends_.end()) return;
  const auto connection = found->second.connection;
  const int to = 1 - found->second.side;
  sent_.add(*frame);
  network_.traffic_.add(*frame);
  auto& peer = connection->sides[to];
  if (peer.network == nullptr && network_.listeners_.count(peer.address) > 0) {
    // The peer lost power and has restarted: it does not know the connection and resets it.
    network_.deliver(connection, found->second.side, {SimulatedNetwork::EventKind::kClose, nullptr, {}});
  }
  if (peer.network == nullptr || peer.closed) return;
  peer.queued += frame->size();
  network_.deliver(connection, to, {SimulatedNetwork::EventKind::kFrame, frame, {}});
}

void ProcessNetwork::close(base::ConnectionId id) {
  const auto found = ends_.find(id);
  if (found == ends_.end()) return;
  const auto end = found->second;
  ends_.erase(found);
  network_.closeFrom(end.connection, end.side);
}

size_t ProcessNetwork::queuedBytes(base::ConnectionId id) const {
  const auto found = ends_.find(id);
  if (found == ends_.end()) return 0;
  return found->second.connection->sides[1 - found->second.side].queued;
}

void ProcessNetwork::resetAll() {
  std::vector<base::ConnectionId> ids;
  for (const auto& [id, end] : ends_) ids.push_back(id);
  for (const auto id : ids) {
    const auto found = ends_.find(id);
    if (found == ends_.end()) continue;
    const auto end = found->second;
    network_.deliver(end.connection, end.side, {SimulatedNetwork::EventKind::kClose, nullptr, {}});
    network_.deliver(end.connection, 1 - end.side, {SimulatedNetwork::EventKind::kClose, nullptr, {}});
  }
}

}  // namespace driftlug::simulation
