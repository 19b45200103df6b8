/// Fake network that records sent messages, for unit tests.
#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <vector>

#include "base/network.h"

namespace driftlug::test {

/// Assigns consecutive connection ids and records every message.
class RecordingNetwork : public base::Network {
 public:
  struct Sent {
    base::ConnectionId connection;
    wire::Message message;
  };

  void setHello(const wire::Hello&) override {}
  base::ConnectionId connect(const base::Address& address) override {
    connected[++last_] = address;
    return last_;
  }
  void send(base::ConnectionId connection, const wire::FramePtr& frame) override {
    auto message = wire::decodeFrame(std::string_view(*frame).substr(wire::kLengthBytes));
    REQUIRE(message.ok());
    sent.push_back({connection, std::move(*message)});
  }
  void close(base::ConnectionId connection) override {
    connected.erase(connection);
    closed.insert(connection);
  }
  size_t queuedBytes(base::ConnectionId) const override { return 0; }
  std::optional<base::TimePoint> partialMessageReceivedAt(base::ConnectionId) const override { return partArrived; }

  /// @return the sent messages of type T, in order.
  template <typename T>
  std::vector<T> all() const {
    std::vector<T> found;
    for (const auto& item : sent) {
      if (const auto* message = std::get_if<T>(&item.message)) found.push_back(*message);
    }
    return found;
  }

  std::map<base::ConnectionId, base::Address> connected;
  std::optional<base::TimePoint> partArrived;  // returned by partialMessageReceivedAt() for every connection
  std::vector<Sent> sent;
  std::set<base::ConnectionId> closed;

 private:
  base::ConnectionId last_ = 0;
};

}  // namespace driftlug::test
