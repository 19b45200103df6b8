/// Checks that the heads of HTTP/1.x messages have the form that the standard prescribes.
#pragma once

#include <cstddef>
#include <string_view>

#include "wire/http_syntax.h"

namespace driftlug::transport {

/// Checks the bytes of one head at a time, in pieces of any size.
///
/// `http_parser` accepts more than the standard: a status of any number of digits, blanks in field names and lines that
/// continue the one before. It recognises a field that delimits the body under a name with a blank, whereas everything
/// that looks a field up by its name does not.
class HttpHeadValidator {
 public:
  enum class Kind { kRequests, kResponses };

  explicit HttpHeadValidator(Kind kind) : kind_(kind) {}

  /// Checks the next bytes of a message, up to the end of its head.
  /// @return the first error of the head
  wire::HttpHeadError check(std::string_view bytes);

  /// Begins with the head of the next message.
  void reset();

 private:
  enum class State {
    kBlankLines,  // before the first line
    kFirstLine,
    kReasonPhrase,
    kLineStart,
    kName,
    kValue,
    kLineFeed,     // behind a carriage return
    kEndLineFeed,  // behind the carriage return of the empty line
    kEnd,
  };

  wire::HttpHeadError check(char next);
  wire::HttpHeadError checkStatusLine(char next);
  wire::HttpHeadError checkLineStart(char next);
  wire::HttpHeadError checkText(char next, wire::HttpHeadError error);

  Kind kind_;
  State state_ = State::kBlankLines;
  size_t position_ = 0;  // in the status line
  int status_ = 0;
  wire::HttpHeadError error_ = wire::HttpHeadError::kNone;
};

}  // namespace driftlug::transport
