/// A node's way to the ledger: commands go over its relay to the leading controller, and are sent again until answered.
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
  wire::LedgerVerdict::type verdict = wire::LedgerVerdict::UNAVAILABLE;  ///< also when no answer came in time
  std::optional<wire::StoredAnswer> stored;                              ///< of a completed key
};

using LedgerCallback = std::function<void(const LedgerAnswer&)>;

/// Commands are idempotent by owner, so a lost reply costs a repetition, never a second grant to another.
///
/// Invariant: each callback is called once, at its time limit at the latest, never from within the call.
class LedgerClient {
 public:
  /// Sends to the relay in use; false when there is none now.
  using Send = std::function<bool(const wire::Message&)>;

  LedgerClient(base::Scheduler& scheduler, base::RandomSource random, std::string ownerPrefix, Send send);
  ~LedgerClient();

  /// @return an owner that no other attempt has.
  std::string newOwner();

  /// Asks to run the request of a key.
  void claim(const std::string& key, int64_t fingerprint, const std::string& owner, base::Duration timeout,
             LedgerCallback done);

  /// Stores the answer of a request that this owner ran.
  void complete(const std::string& key, const std::string& owner, const wire::StoredAnswer& answer,
                base::Duration timeout);

  /// Gives a key back because its request did not run.
  void release(const std::string& key, const std::string& owner, base::Duration timeout, LedgerCallback done);

  /// A reply came from the relay.
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
