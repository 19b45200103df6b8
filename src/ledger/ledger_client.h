/// A node's client of the ledger: sends commands through its relay to the leading controller and resends them until
/// they are answered or time out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "wire/frame.h"

namespace driftlug::ledger {

/// Answer to a command.
struct LedgerAnswer {
  wire::LedgerVerdict::type verdict = wire::LedgerVerdict::UNAVAILABLE;  ///< UNAVAILABLE also after a timeout
  std::optional<wire::StoredAnswer> stored;                              ///< response stored for a completed key
};

using LedgerCallback = std::function<void(const LedgerAnswer&)>;

/// Commands are idempotent per owner: after a lost reply a command is resent, and a key is never granted to a second
/// owner because of it.
///
/// Invariant: each callback is called exactly once, no later than its timeout, and never from within the submitting
/// call.
class LedgerClient {
 public:
  /// Sends a message to the current relay; returns false when there is none.
  using Send = std::function<bool(const wire::Message&)>;

  LedgerClient(base::Scheduler& scheduler, base::RandomSource random, std::string ownerPrefix, Send send);
  ~LedgerClient();

  /// @return an owner id that is unique per attempt.
  std::string newOwner();

  /// Claims a key in order to run its request.
  void claim(const std::string& key, int64_t fingerprint, const std::string& owner, base::Duration timeout,
             LedgerCallback done);

  /// Stores the answer of a request that this owner has run; the outcome is not reported.
  void complete(const std::string& key, const std::string& owner, const wire::StoredAnswer& answer,
                base::Duration timeout);

  /// Releases a key whose request did not run.
  void release(const std::string& key, const std::string& owner, base::Duration timeout, LedgerCallback done);

  /// Handles a reply from the relay.
  void onReply(const wire::LedgerReply& reply);

  size_t pending() const { return pending_.size(); }

 private:
  struct Pending {
    wire::LedgerCommand command;
    base::TimePoint deadline;
    base::TimerId timer = 0;
    LedgerCallback done;
  };

  void submit(wire::LedgerCommand command, base::Duration timeout, LedgerCallback done);
  void attempt(int64_t requestId);
  void finish(int64_t requestId, const LedgerAnswer& answer);

  base::Scheduler& scheduler_;
  base::RandomSource random_;
  std::string ownerPrefix_;
  Send send_;
  int64_t nextRequest_ = 1;
  std::map<int64_t, Pending> pending_;  // by request id
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::ledger
