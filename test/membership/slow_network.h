/// A network with a configurable connection delay.
#pragma once

#include "base/network.h"
#include "node/recording_network.h"

namespace driftlug::test {

/// Each connection opens after `openDelay`, or fails after its timeout if that is shorter.
class SlowNetwork : public RecordingNetwork {
 public:
  explicit SlowNetwork(base::Scheduler& scheduler) : scheduler_(scheduler) {}

  base::ConnectionId connect(const base::Address& address) override {
    return connectWithTimeout(address, kDefaultTimeout);
  }

  base::ConnectionId connectWithTimeout(const base::Address& address, base::Duration timeout) override {
    const auto connection = RecordingNetwork::connect(address);
    maxConcurrentAttempts = std::max(maxConcurrentAttempts, connected.size());
    const bool opens = openDelay <= timeout;
    scheduler_.schedule(opens ? openDelay : timeout, [this, connection, opens] {
      if (connected.count(connection) == 0) return;
      if (opens) return handler->onOpen(connection, hello);
      connected.erase(connection);
      handler->onClose(connection);
    });
    return connection;
  }

  base::Duration openDelay{0};
  size_t maxConcurrentAttempts = 0;
  wire::Hello hello;  // of the peer that is reached
  base::ConnectionHandler* handler = nullptr;

 private:
  static constexpr base::Duration kDefaultTimeout = base::milliseconds(700);  // default of the frame transport

  base::Scheduler& scheduler_;
};

}  // namespace driftlug::test
