#include "ledger/ledger_client.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace driftlug::ledger {
namespace {

/// Interval at which an unanswered command is resent; resending also covers a change of leader or relay.
constexpr base::Duration kResendInterval = base::milliseconds(150);

}  // namespace

LedgerClient::LedgerClient(base::Scheduler& scheduler, base::RandomSource random, std::string ownerPrefix, Send send)
    : scheduler_(scheduler), random_(random), ownerPrefix_(std::move(ownerPrefix)), send_(std::move(send)) {}

LedgerClient::~LedgerClient() { alive_.reset(); }

std::string LedgerClient::newOwner() { return ownerPrefix_ + absl::StrFormat("/%016x", random_.bits()); }

void LedgerClient::claim(const std::string& key, int64_t fingerprint, const std::string& owner, base::Duration timeout,
                         LedgerCallback done) {
  wire::LedgerCommand command;
  command.action = wire::LedgerAction::CLAIM;
  command.key = key;
  command.fingerprint = fingerprint;
  command.owner = owner;
  submit(std::move(command), timeout, std::move(done));
}

void LedgerClient::complete(const std::string& key, const std::string& owner, const wire::StoredAnswer& answer,
                            base::Duration timeout) {
  wire::LedgerCommand command;
  command.action = wire::LedgerAction::COMPLETE;
  command.key = key;
  command.owner = owner;
  command.__set_answer(answer);
  submit(std::move(command), timeout, nullptr);
}

void LedgerClient::release(const std::string& key, const std::string& owner, base::Duration timeout,
                           LedgerCallback done) {
  wire::LedgerCommand command;
  command.action = wire::LedgerAction::RELEASE;
  command.key = key;
  command.owner = owner;
  submit(std::move(command), timeout, std::move(done));
}

void LedgerClient::submit(wire::LedgerCommand command, base::Duration timeout, LedgerCallback done) {
  const auto requestId = nextRequest_++;
  auto& pending = pending_[requestId];
  pending.command = std::move(command);
  pending.deadline = scheduler_.now() + timeout;
  pending.done = std::move(done);
  attempt(requestId);
}

void LedgerClient::attempt(int64_t requestId) {
  const auto found = pending_.find(requestId);
  if (found == pending_.end()) return;
  auto& pending = found->second;
  const auto now = scheduler_.now();
  if (now >= pending.deadline) return finish(requestId, LedgerAnswer{});
  wire::LedgerRequest request;
  request.requestId = requestId;
  request.command = pending.command;
  (void)send_(request);
  const auto wait = std::min<base::Duration>(kResendInterval, pending.deadline - now);
  pending.timer = scheduler_.schedule(wait, [this, alive = std::weak_ptr<bool>(alive_), requestId] {
    if (!alive.expired()) attempt(requestId);
  });
}

void LedgerClient::onReply(const wire::LedgerReply& reply) {
  // The ledger is full or has no leader; the command is resent until its timeout.
  if (reply.verdict == wire::LedgerVerdict::UNAVAILABLE) return;
  LedgerAnswer answer;
  answer.verdict = reply.verdict;
  if (reply.__isset.answer) answer.stored = reply.answer;
  finish(reply.requestId, answer);
}

void LedgerClient::finish(int64_t requestId, const LedgerAnswer& answer) {
  auto node = pending_.extract(requestId);
  if (node.empty()) return;
  scheduler_.cancel(node.mapped().timer);
  if (node.mapped().done) node.mapped().done(answer);
}

}  // namespace driftlug::ledger
