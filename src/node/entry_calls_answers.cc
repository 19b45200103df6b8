/// Large answers that arrive in pieces.
#include "node/entry_calls_answers.h"

#include <algorithm>

#include "node/entry_calls.h"
#include "node/http_status.h"
#include "wire/frame.h"

namespace driftlug::node {
namespace {

/// Interval at which answers that wait for room for their bodies are looked at.
constexpr base::Duration kRoomInterval = base::milliseconds(10);
/// Smaller bodies of sent requests are kept: dropping them would free little.
constexpr int64_t kMinReleasedBytes = int64_t{256} << 10;

}  // namespace

void AnswerGatherer::useBudget(memory::body_budget* budget) {
  budget_ = budget;
  overload::response_gatherer_options options;
  options.maxBoundedBytes = budget->options().smallBodyBytes;
  bodies_ = overload::response_gatherer(options);
}

void AnswerGatherer::begin(int64_t attempt, wire::CallResponse head) {
  answers_[attempt] = {std::move(head), {}};
  waiting_.insert(attempt);
  reserveWaiting();
}

bool AnswerGatherer::reserve(Gathering* answer) {
  if (budget_ == nullptr) return true;
  auto reservation = budget_->reserve(memory::body_use::caller_response, answer->head.bodyBytes);
  if (reservation) answer->reservation = std::move(*reservation);
  return reservation.has_value();
}

void AnswerGatherer::reserveWaiting() {
  // Only small answers, which have a reserve, pass one that has waited longer.
  bool noRoom = false;
  for (auto attempt = waiting_.begin(); attempt != waiting_.end();) {
    auto& answer = answers_.at(*attempt);
    const bool passes = budget_ == nullptr || budget_->isSmall(answer.head.bodyBytes);
    if ((noRoom && !passes) || !reserve(&answer)) {
      noRoom = noRoom || !passes;
      ++attempt;
      continue;
    }
    bodies_.begin(*attempt, answer.head.bodyBytes);
    attempt = waiting_.erase(attempt);
  }
}

bool AnswerGatherer::add(int64_t attempt, std::string_view data) {
  const auto result = bodies_.onPiece(attempt, data);
  const bool accepted = result == overload::piece_result::incomplete || result == overload::piece_result::complete;
  ++(accepted ? counters_.pieces : counters_.invalidPieces);
  return result == overload::piece_result::complete;
}

GatheredAnswer AnswerGatherer::take(int64_t attempt) {
  auto gathering = std::move(answers_.extract(attempt).mapped());
  gathering.head.bodyBytes = 0;
  return {std::move(gathering.head), {bodies_.takeBody(attempt), std::move(gathering.reservation)}};
}

void AnswerGatherer::drop(int64_t attempt) {
  answers_.erase(attempt);
  waiting_.erase(attempt);
  bodies_.drop(attempt);
}

void EntryCalls::useBodyBudget(memory::body_budget* budget) {
  answers_.useBudget(budget);
  budget->setReclaimer([this](int64_t bytes) { releaseSentBodies(bytes); });
}

void EntryCalls::reserveAnswers() {
  answers_.reserveWaiting();
  sendAnswerCredits();
  if (answers_.waiting()) roomTimer_.start(kRoomInterval);
}

/// Drops bodies of requests that were sent whole and are kept only for further attempts, so that answers find room. The
/// calls go on, but are not attempted again.
void EntryCalls::releaseSentBodies(int64_t bytes) {
  for (auto& [id, call] : calls_) {
    const auto size = static_cast<int64_t>(call.inbound.body.size());
    const bool sent =
        !call.inFlight.empty() && std::all_of(call.inFlight.begin(), call.inFlight.end(), [this](int64_t attemptId) {
          const auto attempt = attempts_.find(attemptId);
          return attempt != attempts_.end() && isBodySent(attempt->second);
        });
    if (size < kMinReleasedBytes || !sent) continue;
    (void)fingerprintOfCall(&call);  // logs and the quarantine may need it after the body is gone
    call.inbound.body = {};
    call.bodyReleased = true;
    ++counters_.releasedBodies;
    bytes -= size;
    if (bytes <= 0) return;
  }
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
    if (answers_.waiting() && !roomTimer_.running()) roomTimer_.start(kRoomInterval);
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
  if (answers_.add(piece.callId, piece.data)) {
    auto answer = answers_.take(piece.callId);
    onResponse(connection, std::move(answer.head), std::move(answer.body));
  }
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
