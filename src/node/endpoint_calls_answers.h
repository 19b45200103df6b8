/// Sending of large answers in pieces.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/decision_log.h"
#include "base/network.h"
#include "base/time.h"
#include "memory/shared_body.h"
#include "overload/response_scheduler.h"
#include "overload/response_transfer_estimator.h"

namespace driftlug::node {

/// Counters of AnswerSender.
struct AnswerCounters {
  int64_t pieces = 0;          ///< sent
  int64_t dropped = 0;         ///< answers whose receiver left before they were sent whole
  int64_t late = 0;            ///< answers sent whole after their target
  int64_t invalidCredits = 0;  ///< credits for calls that never existed or were not answered in pieces, or below zero
};

/// An answer whose body is sent in pieces.
struct LargeAnswer {
  overload::body_id call;
  memory::shared_body body;
  int rank = 0;              ///< urgency of its request, lower values first
  base::TimePoint target{};  ///< when it has to be sent to be in time
  base::TimePoint deadline{};
  std::string requestId;  ///< for logs
};

/// Holds large answers and sends their bodies as the link has room and their receivers give credits.
class AnswerSender {
 public:
  /// Larger bodies of routes with large answers are sent in pieces; others with the answer's head, which costs less
  /// than the credit for them.
  static constexpr size_t kMaxWholeBytes = 4096;
  /// The same for all other routes: both nodes hold a whole frame several times over.
  static constexpr size_t kMaxFrameBodyBytes = size_t{256} << 10;

  /// @param linkBytesPerSecond bandwidth of the node's link; 0 if unknown
  AnswerSender(int64_t linkBytesPerSecond, std::string nodeId, base::Scheduler& scheduler, base::Network& network);

  void onOpen(base::ConnectionId connection, const wire::Hello& peer);
  void onClose(base::ConnectionId connection);
  void onCredit(base::ConnectionId connection, const wire::CallAnswerCredit& credit);

  /// Queues the body of an answer whose head was sent.
  void send(LargeAnswer answer);

  /// Drops an answer that its caller no longer waits for.
  /// @return whether it was queued
  bool cancel(base::ConnectionId connection, int64_t callId);

  /// @return whether the node of a connection takes answers in pieces, whatever their route.
  bool peerTakesPieces(base::ConnectionId connection) const;

  /// @return whether answers to this call may be sent in pieces; false on connections within the machine.
  bool takesPieces(base::ConnectionId connection, const wire::CallRequest& request) const;

  /// @return whether a connection leads to this node itself, and crosses no link.
  bool isWithinMachine(base::ConnectionId connection) const;

  /// Records the size of an answer to a call of a route with large answers.
  void recordSize(const overload::call_kind& kind, size_t bytes) { sizes_.onResponse(kind, bytes); }

  /// @return typical size of the answers of a kind; 0 if it is unknown, or if they are sent whole.
  int64_t expectedBytes(const overload::call_kind& kind) const;

  const overload::response_scheduler& scheduler() const { return queue_; }
  const overload::response_transfer_estimator& sizes() const { return sizes_; }
  const AnswerCounters& counters() const { return counters_; }

 private:
  /// A connected node that sends calls.
  struct Peer {
    bool takesPieces = false;
    bool withinMachine = false;
  };

  struct Queued {
    LargeAnswer answer;
    base::TimePoint queuedAt{};
  };

  void sendPieces();
  void finish(const overload::body_id& call);
  void logDropped(const overload::body_id& call, const char* reason);

  std::string nodeId_;
  base::Scheduler& scheduler_;
  base::Network& network_;
  overload::response_scheduler queue_;
  /// Sizes by kind, of routes with large answers only: requests of other routes with the same priority and target
  /// latency do not blur them.
  overload::response_transfer_estimator sizes_;
  std::map<base::ConnectionId, Peer> peers_;
  std::map<overload::body_id, Queued> answers_;
  base::Timer timer_;  // runs while pieces wait for the link
  AnswerCounters counters_;
  base::DecisionLog log_;
};

}  // namespace driftlug::node
