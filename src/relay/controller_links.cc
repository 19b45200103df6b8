#include "relay/controller_links.h"

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
      connectionAttempts_(network, scheduler),
      keepAliveTimer_(scheduler, [this] { sendKeepAlive(); }) {}

void ControllerLinks::start() {
  started_ = true;
  freshnessAdvancedAt_ = scheduler_.now();
  keepAliveTimer_.start(base::kKeepAliveInterval);
  for (const auto& address : configured_) connect(address);
}

bool ControllerLinks::isWanted(const base::Address& address) const {
  return configured_.count(address) > 0 || learned_.count(address) > 0;
}

void ControllerLinks::setConfigured(const std::vector<base::Address>& configured) {
  configured_ = {configured.begin(), configured.end()};
  reconcileConnections();
}

void ControllerLinks::setLearned(const std::set<base::Address>& learned) {
  learned_ = learned;
  reconcileConnections();
}

void ControllerLinks::reconcileConnections() {
  std::vector<base::ConnectionId> toClose;
  for (const auto& [connection, address] : open_) {
    if (!isWanted(address)) toClose.push_back(connection);
  }
  for (const auto connection : toClose) drop(connection);
  for (const auto& address : connectionAttempts_.addresses()) {
    if (!isWanted(address)) connectionAttempts_.stop(address);
  }
  if (!started_) return;
  for (const auto& address : configured_) connect(address);
  for (const auto& address : learned_) connect(address);
}

bool ControllerLinks::isOpen(const base::Address& address) const {
  return std::any_of(open_.begin(), open_.end(), [&](const auto& item) { return item.second == address; });
}

void ControllerLinks::connect(const base::Address& address) {
  if (isWanted(address) && !isOpen(address)) connectionAttempts_.start(address);
}

void ControllerLinks::reconnectLater(const base::Address& address) {
  const auto delay = random_.duration(kReconnectDelay) + base::milliseconds(1);
  scheduler_.schedule(delay, [this, alive = std::weak_ptr<bool>(alive_), address] {
    if (!alive.expired()) connect(address);
  });
}

void ControllerLinks::drop(base::ConnectionId connection) {
  network_.close(connection);
  onClose(connection);
}

void ControllerLinks::onOpen(base::ConnectionId connection) {
  const auto address = connectionAttempts_.onOpen(connection);
  if (address) open_[connection] = *address;
}

bool ControllerLinks::onClose(base::ConnectionId connection) {
  if (const auto address = connectionAttempts_.onClose(connection)) reconnectLater(*address);
  const auto closed = open_.extract(connection);
  if (closed) reconnectLater(closed.mapped());
  if (connection != source_) return false;
  source_ = 0;
  return true;
}

void ControllerLinks::onResumed() {
  const auto open = open_;
  for (const auto& [connection, address] : open) drop(connection);
  // A connection that was established meanwhile may carry stale messages too.
  for (const auto& address : connectionAttempts_.addresses()) {
    connectionAttempts_.stop(address);
    reconnectLater(address);
  }
}

bool ControllerLinks::onLeader(base::ConnectionId connection, const wire::Freshness& freshness) {
  const bool newer = isNewer(freshness, freshness_);
  if (newer) {
    freshness_ = freshness;
    freshnessAdvancedAt_ = scheduler_.now();
  }
  if (connection == source_ || isNewer(freshness_, freshness)) return false;
  // A second leader is either newer or does not know yet that it has been replaced.
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
  keepAliveTimer_.start(base::kKeepAliveInterval);
  sendToAll(wire::KeepAlive());
}

bool ControllerLinks::send(const wire::Message& message) {
  if (source_ == 0) return false;
  network_.send(source_, wire::encodeFrame(message));
  return true;
}

void ControllerLinks::sendToAll(const wire::Message& message) {
  const auto frame = wire::encodeFrame(message);
  for (const auto& [connection, address] : open_) network_.send(connection, frame);
}

}  // namespace driftlug::relay
