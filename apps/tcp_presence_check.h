/// Checks whether a process listens at a back end's address, by opening a connection and closing it at once.
#pragma once

#include <functional>
#include <memory>

#include "base/network.h"
#include "quarantine/back_end_presence.h"
#include "transport/tcp_stream.h"

namespace driftlug::apps {

class TcpPresenceCheck : public quarantine::back_end_presence, private transport::StreamHandler {
 public:
  TcpPresenceCheck(transport::EventLoop& loop, base::Address address) : loop_(loop), address_(std::move(address)) {}
  ~TcpPresenceCheck() override;

  void check(std::function<void(quarantine::presence)> done) override;

 private:
  void onConnected() override { finish(quarantine::presence::listening); }
  void onBytes(std::string_view) override {}
  void onClosed(bool orderly) override;
  void finish(quarantine::presence found);

  transport::EventLoop& loop_;
  base::Address address_;
  std::shared_ptr<transport::TcpStream> stream_;  // null while no check runs
  std::function<void(quarantine::presence)> done_;
};

}  // namespace driftlug::apps
