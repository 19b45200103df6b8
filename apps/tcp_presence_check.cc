#include "tcp_presence_check.h"

#include <utility>

namespace driftlug::apps {
namespace {

/// The back end is on this machine: a connection is up, or refused, within a millisecond, and within some hundred where
/// the machine is short of processor time. Calls that were cut wait for the answer.
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
