#include "tcp_presence_check.h"

#include <utility>

namespace driftlug::apps {
namespace {

/// The back end is on this machine: a connection is established or refused within a millisecond, or within some hundred
/// milliseconds if the machine is short of CPU time. Interrupted calls wait for the result.
constexpr base::Duration kTimeout = base::milliseconds(500);

}  // namespace

TcpPresenceCheck::~TcpPresenceCheck() {
  if (stream_) stream_->close();
}

void TcpPresenceCheck::check(std::function<void(quarantine::presence)> done) {
  done_ = std::move(done);
  transport::StreamOptions options;
  options.connectTimeout = kTimeout;
  stream_ = transport::TcpStream::connect(loop_, address_, this, options);
}

void TcpPresenceCheck::onClosed(bool) {
  finish(stream_->refused() ? quarantine::presence::gone : quarantine::presence::unknown);
}

void TcpPresenceCheck::finish(quarantine::presence found) {
  std::exchange(stream_, nullptr)->close();
  std::exchange(done_, nullptr)(found);
}

}  // namespace driftlug::apps
