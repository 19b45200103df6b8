#include "membership/peer_links.h"

namespace driftlug::membership {
namespace {

constexpr base::Duration kReconnectDelay = base::milliseconds(100);
/// An attempt older than this started while the peer was unreachable. Younger ones continue: two peers that connect to
/// each other at the same time must not keep cancelling each other's attempts.
constexpr base::Duration kStaleAttemptAge = base::milliseconds(100);

}  // namespace

PeerLinks::PeerLinks(base::Network& network, base::Scheduler& scheduler, base::RandomSource random)
    : network_(network),
      scheduler_(scheduler),
      random_(random),
      connectionAttempts_(network, scheduler),
      keepAliveTimer_(scheduler, [this] { sendKeepAlive(); }) {
  keepAliveTimer_.start(base::kKeepAliveInterval);
}

void PeerLinks::sendKeepAlive() {
  keepAliveTimer_.start(base::kKeepAliveInterval);
  sendToAll(wire::KeepAlive());
}

void PeerLinks::setAddresses(const std::set<base::Address>& addresses) {
  for (auto link = links_.begin(); link != links_.end();) {
    if (addresses.count(link->first) > 0) {
      ++link;
      continue;
    }
    connectionAttempts_.stop(link->first);
    if (link->second.open()) {
      byConnection_.erase(link->second.connection);
      network_.close(link->second.connection);
    }
    link = links_.erase(link);
  }
  for (const auto& address : addresses) {
    if (links_.count(address) > 0) continue;
    links_[address] = Link{};
    connect(address);
  }
}

void PeerLinks::connect(const base::Address& address) {
  const auto found = links_.find(address);
  if (found != links_.end() && !found->second.open()) connectionAttempts_.start(address);
}

void PeerLinks::onOpen(base::ConnectionId connection, const wire::Hello& peer) {
  const auto address = connectionAttempts_.onOpen(connection);
  if (!address) return onPeerConnected(peer);
  auto& link = links_[*address];
  link.connection = connection;
  link.hello = peer;
  byConnection_[connection] = *address;
}

/// A peer that connects to this process is reachable, so attempts that started while it was not, and hang without a
/// reply, are replaced by a new one at once.
void PeerLinks::onPeerConnected(const wire::Hello& peer) {
  const base::Address address{peer.address, peer.framePort};
  const auto attemptAge = connectionAttempts_.sinceLastAttempt(address);
  if (attemptAge && *attemptAge < kStaleAttemptAge) return;
  connectionAttempts_.stop(address);
  connect(address);
}

void PeerLinks::onHello(base::ConnectionId connection, const wire::Hello& peer) {
  const auto found = byConnection_.find(connection);
  if (found != byConnection_.end()) links_[found->second].hello = peer;
}

void PeerLinks::onClose(base::ConnectionId connection) {
  auto address = connectionAttempts_.onClose(connection);
  if (const auto open = byConnection_.extract(connection)) {
    address = open.mapped();
    links_[*address] = Link{};
  }
  if (!address) return;
  const auto delay = kReconnectDelay / 2 + random_.duration(kReconnectDelay);
  scheduler_.schedule(delay, [this, alive = std::weak_ptr<bool>(alive_), address = *address] {
    if (!alive.expired()) connect(address);
  });
}

void PeerLinks::sendTo(const std::string& peerId, const wire::FramePtr& frame) {
  for (const auto& [address, link] : links_) {
    if (!link.open() || link.hello.id != peerId) continue;
    network_.send(link.connection, frame);
    return;
  }
}

void PeerLinks::sendToAll(const wire::Message& message) {
  const auto frame = wire::encodeFrame(message);
  for (const auto& [address, link] : links_) {
    if (link.open()) network_.send(link.connection, frame);
  }
}

const wire::Hello* PeerLinks::helloOf(const base::Address& address) const {
  const auto found = links_.find(address);
  return found != links_.end() && found->second.open() ? &found->second.hello : nullptr;
}

}  // namespace driftlug::membership
