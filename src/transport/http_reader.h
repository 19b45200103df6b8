/// Incremental reader of HTTP/1.x messages, based on the `http_parser` library.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "memory/shared_body.h"
#include "transport/http_head_validator.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::transport {

/// The part of a message before its body. Header names are in lower case.
struct HttpHead {
  std::string method;  ///< of a request
  std::string target;  ///< of a request, as received
  int status = 0;      ///< of a response
  std::vector<wire::HttpHeader> headers;
  bool keepAlive = false;  ///< whether the connection can be reused after the message
  bool http10 = false;
};

/// Result of reading bytes.
enum class HttpProgress {
  kIncomplete,    ///< more bytes are needed
  kAwaitingRoom,  ///< the body fits into the budget only later; feeding the same bytes again tries again
  kMessage,       ///< a complete message can be taken
  kMalformed,     ///< the bytes are not valid HTTP
  kHeadTooLarge,  ///< the head exceeds the limit
  kBodyTooLarge,  ///< the body exceeds the limit
  kNoRoom,        ///< the body does not fit into the budget
};

/// Maximum sizes that a reader accepts, in bytes.
struct HttpReaderLimits {
  size_t maxHeadBytes = 64U << 10;
  size_t maxBodyBytes = 64U << 20;
  memory::body_budget* budget = nullptr;  ///< of all bodies of the process; null for none
  memory::body_use use = memory::body_use::caller_request;
};

/// Reads the messages of one direction of a connection, one at a time.
///
/// Invariants: only the framing of a message determines its end; a message with both a length and chunks, or with two
/// lengths, is malformed, and so is one with an invalid status line, field name or field value; after an error no more
/// bytes are read. With a budget, no byte of a body is held that is not reserved: one with a length is reserved whole
/// before it is read, one without as it grows.
class HttpReader {
 public:
  using Kind = HttpHeadValidator::Kind;

  HttpReader(Kind kind, const HttpReaderLimits& limits);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Reads from the front of `bytes`, at most up to the end of a message, and removes what was read.
  HttpProgress feed(std::string_view* bytes);

  /// Handles an orderly end of the stream.
  /// @return kMessage if it completes a message without a length
  HttpProgress finish();

  /// Marks the next response as one without a body regardless of its head, as for HEAD requests.
  void expectNoBody() { skipBody_ = true; }

  /// Changes the limits for bytes that are read from now on.
  void setLimits(const HttpReaderLimits& limits) { limits_ = limits; }

  /// @return whether a message has begun and is not complete.
  bool midMessage() const { return begun_ && !complete_; }

  /// @return whether the head of the message in progress is complete.
  bool headComplete() const { return headComplete_; }

  const HttpHead& head() const { return head_; }
  size_t bodyBytes() const { return body_.size(); }

  /// @return what is invalid in the head or a trailer of a malformed message; kNone if another part of it is invalid,
  /// or the error has no value of its own.
  wire::HttpHeadError headError() const { return headError_; }

  /// Takes the head of the complete message. takeBody() ends the message, so that the next one can be read.
  HttpHead takeHead();
  std::string takeBody();

  /// Takes the body of the complete message together with its reservation, and ends the message.
  memory::shared_body takeSharedBody();

 private:
  static int onMessageBegin(http_parser* parser);
  static int onTarget(http_parser* parser, const char* at, size_t length);
  static int onHeaderField(http_parser* parser, const char* at, size_t length);
  static int onHeaderValue(http_parser* parser, const char* at, size_t length);
  static int onHeadersComplete(http_parser* parser);
  static int onBody(http_parser* parser, const char* at, size_t length);
  static int onMessageComplete(http_parser* parser);
  static const http_parser_settings& settings();
  bool addHeadBytes(size_t length);
  bool checkTrailerName(std::string_view name);
  bool reserveBody(size_t bytes);
  bool growBody(size_t bytes);
  HttpProgress dropBody();
  HttpProgress progressAfter(size_t consumed, size_t offered);

  http_parser parser_;
  HttpReaderLimits limits_;
  HttpHeadValidator validator_;
  wire::HttpHeadError headError_ = wire::HttpHeadError::kNone;
  HttpHead head_;
  std::string body_;
  memory::body_reservation reservation_;
  size_t awaitedBytes_ = 0;  // size of the body while it waits for room
  size_t headBytes_ = 0;
  bool readingValue_ = false;  // the last callback for a header was for its value
  bool begun_ = false;
  bool headComplete_ = false;
  bool complete_ = false;
  bool skipBody_ = false;
  HttpProgress failure_ = HttpProgress::kIncomplete;  // kIncomplete until an error occurs
};

/// @return the headers of a message without the hop-by-hop ones, including those that Connection lists.
std::vector<wire::HttpHeader> endToEndHeaders(std::vector<wire::HttpHeader> headers);

}  // namespace driftlug::transport
