/// Large answers that arrive in pieces.
#include "node/entry_calls_answers.h"

#include <algorithm>

#include "node/entry_calls.h"
#include "node/http_status.h"
#include "wire/frame.h"

namespace driftlug::node {

void AnswerGatherer::begin(int64_t attempt, wire::CallResponse head) {
  bodies_.begin(attempt, head.bodyBytes);
  heads_[attempt] = std::move(head);
}

bool AnswerGatherer::add(int64_t attempt, std::string_view data) {
  const auto result = bodies_.onPiece(attempt, data);
  const bool accepted = result == overload::piece_result::incomplete || result == overload::piece_result::complete;
  ++(accepted ? counters_.pieces : counters_.invalidPieces);
  return result == overload::piece_result::complete;
}

wire::CallResponse AnswerGatherer::take(int64_t attempt) {
  auto head = std::move(heads_.at(attempt));
  heads_.erase(attempt);
  head.body = bodies_.takeBody(attempt);
  head.bodyBytes = 0;
  return head;
}

void AnswerGatherer::drop(int64_t attempt) {
  heads_.erase(attempt);
  bodies_.drop(attempt);
}

/// Handles the head of an answer whose body follows in pieces. The attempt stays in progress until the body is
/// complete, so that a lost link, a deadline and a caller that leaves are handled as before the answer.
/// @param attemptId an attempt in progress on the connection
/// @return whether nothing else is to be done with the answer
bool EntryCalls::gatherAnswer(int64_t attemptId, const wire::CallResponse& response) {
  if (answers_.gathers(attemptId)) {
    ++answers_.counters().invalidHeads;
    return true;
  }
  if (response.bodyBytes == 0) return false;
  const bool valid = response.outcome == wire::CallOutcome::COMPLETED && response.body.empty() &&
                     response.bodyBytes > 0 && response.bodyBytes <= static_cast<int64_t>(wire::kMaxFrameBytes);
  if (valid) {
    answers_.begin(attemptId, response);
    sendAnswerCredits();
    return true;
  }
  ++answers_.counters().invalidHeads;
  const auto attempt = endFailedAttempt(attemptId);
  wire::CallCancel cancel;
  cancel.callId = attemptId;
  network_.send(attempt.connection, wire::encodeFrame(cancel));
  onAttemptFailed(attempt.call, AttemptProgress::kMayHaveRun,
                  failureAnswer(wire::CallOutcome::UNKNOWN, base::ErrorCode::kBadFrame, kBadGatewayStatus, 0));
  return true;
}

void EntryCalls::onAnswerPiece(base::ConnectionId connection, const wire::CallAnswerPiece& piece) {
  const auto found = attempts_.find(piece.callId);
  if (found == attempts_.end() || found->second.connection != connection) {
    // Pieces that were in flight when the attempt ended are not a fault of the sender.
    const bool ended = found == attempts_.end() && piece.callId > 0 && piece.callId < nextAttempt_;
    ++(ended ? answers_.counters().latePieces : answers_.counters().invalidPieces);
    return;
  }
  if (answers_.add(piece.callId, piece.data)) onResponse(connection, answers_.take(piece.callId));
  sendAnswerCredits();
}

void EntryCalls::sendAnswerCredits() {
  for (const auto& credit : answers_.credits()) {
    const auto attempt = attempts_.find(credit.response);
    if (attempt == attempts_.end()) continue;
    wire::CallAnswerCredit message;
    message.callId = credit.response;
    message.upToBytes = credit.upToBytes;
    network_.send(attempt->second.connection, wire::encodeFrame(message));
  }
}

}  // namespace driftlug::node
