#include "transport/http_head_validator.h"

namespace driftlug::transport {
namespace {

using wire::HttpHeadError;

/// Start of a status line; `x` is the minor version.
constexpr std::string_view kVersion = "HTTP/1.x ";
constexpr size_t kMinorVersionAt = 7;
constexpr size_t kStatusDigits = 3;
/// Requests never ask for another protocol, so that no response may switch to one.
constexpr int kSwitchingProtocols = 101;

bool isDigit(char character) { return character >= '0' && character <= '9'; }

bool isBlank(char character) { return character == ' ' || character == '\t'; }

}  // namespace

void HttpHeadValidator::reset() { *this = HttpHeadValidator(kind_); }

HttpHeadError HttpHeadValidator::check(std::string_view bytes) {
  for (const char next : bytes) {
    if (state_ == State::kEnd || error_ != HttpHeadError::kNone) break;
    error_ = check(next);
  }
  return error_;
}

HttpHeadError HttpHeadValidator::check(char next) {
  switch (state_) {
    case State::kBlankLines:
      if (next == '\r' || next == '\n') return HttpHeadError::kNone;
      state_ = State::kFirstLine;
      [[fallthrough]];
    case State::kFirstLine:
      if (kind_ == Kind::kResponses) return checkStatusLine(next);
      if (next == '\n') state_ = State::kLineStart;
      return HttpHeadError::kNone;
    case State::kReasonPhrase:
      return checkText(next, HttpHeadError::kStatusLine);
    case State::kLineStart:
      return checkLineStart(next);
    case State::kName:
      if (next == ':') {
        state_ = State::kValue;
      } else if (!wire::isFieldNameCharacter(next)) {
        return HttpHeadError::kFieldName;
      }
      return HttpHeadError::kNone;
    case State::kValue:
      return checkText(next, HttpHeadError::kFieldValue);
    case State::kLineFeed:
      state_ = State::kLineStart;
      return next == '\n' ? HttpHeadError::kNone : HttpHeadError::kFieldValue;
    case State::kEndLineFeed:
      state_ = State::kEnd;
      return next == '\n' ? HttpHeadError::kNone : HttpHeadError::kFieldName;
    case State::kEnd:
      return HttpHeadError::kNone;
  }
  return HttpHeadError::kNone;
}

HttpHeadError HttpHeadValidator::checkStatusLine(char next) {
  const auto at = position_++;
  if (at < kVersion.size()) {
    const bool matches = at == kMinorVersionAt ? isDigit(next) : next == kVersion[at];
    return matches ? HttpHeadError::kNone : HttpHeadError::kStatusLine;
  }
  if (at < kVersion.size() + kStatusDigits) {
    if (!isDigit(next)) return HttpHeadError::kStatus;
    status_ = 10 * status_ + (next - '0');
    return HttpHeadError::kNone;
  }
  const bool ends = next == ' ' || next == '\r' || next == '\n';
  if (!ends || !wire::isHttpStatus(status_) || status_ == kSwitchingProtocols) return HttpHeadError::kStatus;
  state_ = State::kReasonPhrase;
  return checkText(next, HttpHeadError::kStatusLine);
}

HttpHeadError HttpHeadValidator::checkLineStart(char next) {
  if (isBlank(next)) return HttpHeadError::kFoldedField;
  if (next == '\n') {
    state_ = State::kEnd;
  } else if (next == '\r') {
    state_ = State::kEndLineFeed;
  } else if (wire::isFieldNameCharacter(next)) {
    state_ = State::kName;
  } else {
    return HttpHeadError::kFieldName;
  }
  return HttpHeadError::kNone;
}

/// Checks a character of the text that ends a line.
/// @param error if the text must not hold it
HttpHeadError HttpHeadValidator::checkText(char next, HttpHeadError error) {
  if (next == '\n') {
    state_ = State::kLineStart;
  } else if (next == '\r') {
    state_ = State::kLineFeed;
  } else if (!wire::isFieldValueCharacter(next)) {
    return error;
  }
  return HttpHeadError::kNone;
}

}  // namespace driftlug::transport
