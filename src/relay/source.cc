#include "relay/source.h"

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
      controllers_(std::move(controllers)),
      keepAliveTimer_(scheduler, [this] { sendKeepAlive(); }) {}

void ControllerLinks::start() {
  freshSince_ = scheduler_.now();
  keepAliveTimer_.start(base::kConnectionKeepAlive);
  for (size_t position = 0; position < controllers_.size(); ++position) connect(position);
}

void ControllerLinks::connect(size_t position) {
  const auto connection = network_.connect(controllers_[position]);
  byConnection_[connection] = position;
}

void ControllerLinks::onOpen(base::ConnectionId connection) { open_[connection] = true; }

bool ControllerLinks::onClose(base::ConnectionId connection) {
  const auto position = byConnection_[connection];
  byConnection_.erase(connection);
  open_.erase(connection);
  const auto delay = random_.duration(kReconnectDelay) + base::milliseconds(1);
  scheduler_.schedule(delay, [this, alive = std::weak_ptr<bool>(alive_), position] {
    if (!alive.expired()) connect(position);
  });
  if (connection != source_) return false;
  source_ = 0;
  return true;
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
