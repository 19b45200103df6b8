#include "membership/connection_attempts.h"

namespace driftlug::membership {
namespace {

/// Time after which the next attempt starts. On a path that is not congested, the connection is established within it.
constexpr base::Duration kAttemptInterval = base::milliseconds(700);
constexpr size_t kMaxAttempts = 4;
/// An attempt times out when the attempt that would exceed kMaxAttempts starts.
constexpr base::Duration kAttemptTimeout = kMaxAttempts * kAttemptInterval;

}  // namespace

void ConnectionAttempts::start(const base::Address& address) {
  if (inProgress(address)) return;
  attempts_[address].next = std::make_unique<base::Timer>(scheduler_, [this, address] { startAttempt(address); });
  startAttempt(address);
}

void ConnectionAttempts::startAttempt(const base::Address& address) {
  auto& attempts = attempts_[address];
  if (attempts.connections.size() >= kMaxAttempts) {
    const auto oldest = attempts.connections.begin();
    addressOf_.erase(*oldest);
    network_.close(*oldest);
    attempts.connections.erase(oldest);
  }
  const auto connection = network_.connectWithTimeout(address, kAttemptTimeout);
  attempts.connections.insert(connection);
  attempts.lastStartedAt = scheduler_.now();
  attempts.next->start(kAttemptInterval);
  addressOf_[connection] = address;
}

void ConnectionAttempts::stop(const base::Address& address) {
  const auto found = attempts_.extract(address);
  if (!found) return;
  for (const auto connection : found.mapped().connections) {
    addressOf_.erase(connection);
    network_.close(connection);
  }
}

std::vector<base::Address> ConnectionAttempts::addresses() const {
  std::vector<base::Address> addresses;
  for (const auto& [address, attempts] : attempts_) addresses.push_back(address);
  return addresses;
}

std::optional<base::Duration> ConnectionAttempts::sinceLastAttempt(const base::Address& address) const {
  const auto found = attempts_.find(address);
  if (found == attempts_.end()) return std::nullopt;
  return scheduler_.now() - found->second.lastStartedAt;
}

std::optional<base::Address> ConnectionAttempts::onOpen(base::ConnectionId connection) {
  const auto found = addressOf_.extract(connection);
  if (!found) return std::nullopt;
  const auto address = found.mapped();
  attempts_[address].connections.erase(connection);
  stop(address);
  return address;
}

std::optional<base::Address> ConnectionAttempts::onClose(base::ConnectionId connection) {
  const auto found = addressOf_.extract(connection);
  if (!found) return std::nullopt;
  const auto address = found.mapped();
  auto& attempts = attempts_[address];
  attempts.connections.erase(connection);
  if (!attempts.connections.empty()) return std::nullopt;
  attempts_.erase(address);
  return address;
}

}  // namespace driftlug::membership
