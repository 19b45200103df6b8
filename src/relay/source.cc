#include "relay/source.h"

#include <algorithm>

#include "membership/freshness.h"

namespace driftlug::relay {

using membership::isNewer;

namespace {

constexpr base::Duration kReconnectDelay = base::milliseconds(200);

}  // namespace

ControllerLinks::ControllerLinks(base::Network& network, base::Scheduler& scheduler, base::RandomSource random,
                                 std::vector<base::Address> controllers)
    : network_(network),
      scheduler_(scheduler),
      random_(random),
      configured_(controllers.begin(), controllers.end()),
      keepAliveTimer_(scheduler, [this] { sendKeepAlive(); }) {}

void ControllerLinks::start() {
  started_ = true;
  freshSince_ = scheduler_.now();
  keepAliveTimer_.start(base::kConnectionKeepAlive);
  for (const auto& address : configured_) connect(address);
}

bool ControllerLinks::wanted(const base::Address& address) const {
  return configured_.count(address) > 0 || learned_.count(address) > 0;
}

void ControllerLinks::useConfigured(const std::vector<base::Address>& configured) {
  configured_ = {configured.begin(), configured.end()};
  useWanted();
}

void ControllerLinks::useLearned(const std::set<base::Address>& learned) {
  learned_ = learned;
  useWanted();
}

void ControllerLinks::useWanted() {
  std::vector<base::ConnectionId> leaving;
  for (const auto& [connection, address] : byConnection_) {
    if (!wanted(address)) leaving.push_back(connection);
  }
  for (const auto connection : leaving) {
    network_.close(connection);
    onClose(connection);
  }
  if (!started_) return;
  for (const auto& address : configured_) connect(address);
  for (const auto& address : learned_) connect(address);
}

void ControllerLinks::connect(const base::Address& address) {
  const bool open =
      std::any_of(byConnection_.begin(), byConnection_.end(), [&](const auto& item) { return item.second == address; });
  if (open || !wanted(address)) return;
  byConnection_[network_.connect(address)] = address;
}

void ControllerLinks::onOpen(base::ConnectionId connection) { open_[connection] = true; }

bool ControllerLinks::onClose(base::ConnectionId connection) {
  const auto address = byConnection_[connection];
  byConnection_.erase(connection);
  open_.erase(connection);
  const auto delay = random_.duration(kReconnectDelay) + base::milliseconds(1);
  scheduler_.schedule(delay, [this, alive = std::weak_ptr<bool>(alive_), address] {
    if (!alive.expired()) connect(address);
  });
  if (connection != source_) return false;
  source_ = 0;
  return true;
}

void ControllerLinks::onAway() {
  std::vector<base::ConnectionId> connections;
  for (const auto& [connection, address] : byConnection_) connections.push_back(connection);
  for (const auto connection : connections) {
    network_.close(connection);
    onClose(connection);
  }
}

bool ControllerLinks::onLeader(base::ConnectionId connection, const wire::Freshness& freshness) {
  const bool newer = isNewer(freshness, freshness_);
  if (newer) {
    freshness_ = freshness;
    freshSince_ = scheduler_.now();
  }
  if (connection == source_ || isNewer(freshness_, freshness)) return false;
  // A second leader can only be a newer one, or one that does not know yet that it was replaced.
  if (source_ != 0 && !newer) return false;
  source_ = connection;
  return true;
}

bool ControllerLinks::onNotLeader(base::ConnectionId connection) {
  if (connection != source_) return false;
  source_ = 0;
  return true;
}

void ControllerLinks::sendKeepAlive() {
  keepAliveTimer_.start(base::kConnectionKeepAlive);
  sendToAll(wire::KeepAlive());
}

bool ControllerLinks::send(const wire::Message& message) {
  if (source_ == 0) return false;
  network_.send(source_, wire::encodeFrame(message));
  return true;
}

void ControllerLinks::sendToAll(const wire::Message& message) {
  const auto frame = wire::encodeFrame(message);
  for (const auto& [connection, open] : open_) network_.send(connection, frame);
}

}  // namespace driftlug::relay
