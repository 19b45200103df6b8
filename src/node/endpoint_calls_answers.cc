/// Large answers: sending in pieces, and admission of the calls that lead to them.
#include "node/endpoint_calls_answers.h"

#include <algorithm>
#include <utility>

#include "node/endpoint_calls.h"
#include "wire/frame.h"

namespace driftlug::node {
namespace {

/// Time in the queue beyond the transfer time from which an answer is logged: a good part of the target latencies of
/// routes with large answers.
constexpr base::Duration kNotableDelay = base::milliseconds(250);

}  // namespace

AnswerSender::AnswerSender(int64_t linkBytesPerSecond, std::string nodeId, base::Scheduler& scheduler,
                           base::Network& network)
    : nodeId_(std::move(nodeId)),
      scheduler_(scheduler),
      network_(network),
      queue_({linkBytesPerSecond}),
      sizes_(linkBytesPerSecond),
      timer_(scheduler, [this] { sendPieces(); }),
      log_("endpoint", scheduler) {}

void AnswerSender::onOpen(base::ConnectionId connection, const wire::Hello& peer) {
  peers_[connection] = {peer.takesAnswerPieces, peer.id == nodeId_};
}

bool AnswerSender::takesPieces(base::ConnectionId connection, const wire::CallRequest& request) const {
  const auto found = peers_.find(connection);
  return request.largeAnswer && found != peers_.end() && found->second.takesPieces && !found->second.withinMachine;
}

bool AnswerSender::peerTakesPieces(base::ConnectionId connection) const {
  const auto found = peers_.find(connection);
  return found != peers_.end() && found->second.takesPieces;
}

bool AnswerSender::isWithinMachine(base::ConnectionId connection) const {
  const auto found = peers_.find(connection);
  return found != peers_.end() && found->second.withinMachine;
}

int64_t AnswerSender::expectedBytes(const overload::call_kind& kind) const {
  const auto bytes = sizes_.typicalBytes(kind);
  return bytes > static_cast<int64_t>(kMaxWholeBytes) ? bytes : 0;
}

void AnswerSender::send(LargeAnswer answer) {
  const auto call = answer.call;
  queue_.add(call, static_cast<int64_t>(answer.body.size()), answer.rank, answer.target, answer.deadline,
             scheduler_.now());
  answers_[call] = {std::move(answer), scheduler_.now()};
}

void AnswerSender::onCredit(base::ConnectionId connection, const wire::CallAnswerCredit& credit) {
  // Credits for answers that were just dropped can't be distinguished from others without a queued answer.
  if (credit.upToBytes < 0 || !queue_.credit({connection, credit.callId}, credit.upToBytes, scheduler_.now())) {
    ++counters_.invalidCredits;
    return;
  }
  sendPieces();
}

void AnswerSender::sendPieces() {
  const auto now = scheduler_.now();
  for (const auto connection : queue_.connections()) {
    queue_.onSocketBytes(connection, static_cast<int64_t>(network_.unacknowledgedBytes(connection)), now);
  }
  while (const auto next = queue_.nextPiece(now)) {
    const auto body = answers_.at(next->response).answer.body.view();
    wire::CallAnswerPiece piece;
    piece.callId = next->response.call;
    piece.data = body.substr(static_cast<size_t>(next->offset), static_cast<size_t>(next->bytes));
    ++counters_.pieces;
    network_.send(next->response.connection, wire::encodeFrame(piece));
    if (next->last) finish(next->response);
  }
  const auto wait = queue_.nextPieceIn(now);
  if (!wait) return timer_.stop();
  timer_.start(std::max<base::Duration>(base::milliseconds(1), *wait));
}

void AnswerSender::finish(const overload::body_id& call) {
  const auto found = answers_.find(call);
  const auto& queued = found->second;
  const auto now = scheduler_.now();
  const bool late = now > queued.answer.target;
  if (late) ++counters_.late;
  const auto bytes = static_cast<int64_t>(queued.answer.body.size());
  const auto took = now - queued.queuedAt;
  if (took - sizes_.transferTime(bytes) > kNotableDelay) {
    log_.write(base::LinePriority::kRoutine, [&] {
      return fmt::format("answer_delayed call={} bytes={} sent_after_ms={} late={} queued_bytes={}",
                         queued.answer.requestId, bytes, base::millisecondsOf(took), late, queue_.queuedBytes());
    });
  }
  answers_.erase(found);
}

void AnswerSender::logDropped(const overload::body_id& call, const char* reason) {
  ++counters_.dropped;
  log_.write(base::LinePriority::kRoutine, [&] {
    const auto& queued = answers_.at(call);
    return fmt::format("answer_dropped call={} bytes={} queued_ms={} because={}", queued.answer.requestId,
                       queued.answer.body.size(), base::millisecondsOf(scheduler_.now() - queued.queuedAt), reason);
  });
}

bool AnswerSender::cancel(base::ConnectionId connection, int64_t callId) {
  const overload::body_id call{connection, callId};
  if (!queue_.drop(call)) return false;
  logDropped(call, "cancelled");
  answers_.erase(call);
  sendPieces();
  return true;
}

void AnswerSender::onClose(base::ConnectionId connection) {
  peers_.erase(connection);
  for (const auto& call : queue_.dropConnection(connection)) {
    logDropped(call, "connection_lost");
    answers_.erase(call);
  }
  sendPieces();
}

/// @return when the answer to a call has to be sent to be in time.
base::TimePoint EndpointCalls::answerTarget(const Call& call) const {
  const auto& request = call.request;
  // A late answer to a nested call is useful to its outer call until the deadline.
  if (request.targetLatencyMs == 0 || call.nested) return call.deadline;
  return std::min(call.deadline, call.arrivedAt + base::milliseconds(request.targetLatencyMs - request.waitedMs));
}

/// @return the answer that a call is expected to lead to.
overload::expected_response EndpointCalls::expectedAnswer(const Call& call) const {
  const auto startsAt =
      call.running ? call.startedAt : scheduler_.now() + limiter_.expectedWait(call.priority, call.latestStart);
  return {answers_.expectedBytes(kindOf(call.request)), static_cast<int>(call.priority), answerTarget(call),
          startsAt + expectedRun(call)};
}

/// Refuses a call whose large answer could not be sent in time.
/// @return whether it was refused
bool EndpointCalls::refuseForLargeAnswer(const CallKey& key) {
  const auto& call = calls_.at(key);
  const auto own = expectedAnswer(call);
  if (own.bytes == 0) return false;
  std::vector<overload::expected_response> expected;
  for (const auto& [other, otherCall] : calls_) {
    if (other == key || !answers_.takesPieces(other.connection, otherCall.request)) continue;
    const auto answer = expectedAnswer(otherCall);
    if (answer.bytes > 0) expected.push_back(answer);
  }
  const auto forecast = answers_.scheduler().forecast(own, expected, scheduler_.now());
  if (forecast.admitted) return false;
  ++counters_.refusedForAnswer;
  wire::CallResponse response;
  const auto transfer = answers_.sizes().transferTime(own.bytes);
  response.fullForMs = base::millisecondsOf(callerBackoff(transfer, &CallerNode::lastRequestAt));
  const auto wait = std::max<base::Duration>(base::milliseconds(1), forecast.capacityAt - scheduler_.now());
  refuseWith(key, base::ErrorCode::kOverloaded, wait, std::move(response));
  return true;
}

/// Answers a completed call. A large body is handed over within the process, or follows in pieces where the calling
/// node takes them.
void EndpointCalls::answerInPieces(const CallKey& key, wire::CallResponse response, memory::shared_body body) {
  const auto& call = calls_.at(key);
  const bool largeRoute = answers_.takesPieces(key.connection, call.request);
  if (largeRoute) answers_.recordSize(kindOf(call.request), body.size());
  const bool handsOver =
      exchange_ != nullptr && body.size() >= BodyExchange::kMinBytes && network_.isWithinProcess(key.connection);
  if (handsOver) {
    response.bodyBytes = static_cast<int64_t>(body.size());
    exchange_->putResponse(key.callId, std::move(body));
    return answer(key, std::move(response));
  }
  const size_t maxWhole = largeRoute ? AnswerSender::kMaxWholeBytes : AnswerSender::kMaxFrameBodyBytes;
  if (body.size() <= maxWhole || !answers_.peerTakesPieces(key.connection)) {
    response.body = body.take();
    return answer(key, std::move(response));
  }
  LargeAnswer large{{key.connection, key.callId}, std::move(body), static_cast<int>(call.priority),
                    answerTarget(call),           call.deadline,   requestIdOf(call.request)};
  response.bodyBytes = static_cast<int64_t>(large.body.size());
  answer(key, std::move(response));
  answers_.send(std::move(large));
}

}  // namespace driftlug::node
