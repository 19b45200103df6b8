/// Reading HTTP/1.x messages from a stream of bytes, with the parser library `http_parser`.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/gen/driftlug_types.h"

namespace driftlug::transport {

/// The part of a message before its body. Header names are in lower case.
struct HttpHead {
  std::string method;  ///< of a request
  std::string target;  ///< of a request, as it came
  int status = 0;      ///< of a response
  std::vector<wire::HttpHeader> headers;
  bool keepAlive = false;  ///< whether the connection may be used again behind the message
  bool http10 = false;
};

/// What a reader has come to.
enum class HttpProgress {
  kIncomplete,    ///< more bytes are needed
  kMessage,       ///< a whole message can be taken
  kMalformed,     ///< the bytes are no HTTP
  kHeadTooLarge,  ///< the head is over the limit
  kBodyTooLarge,  ///< the body is over the limit
};

/// Sizes that a reader takes, in bytes.
struct HttpReaderLimits {
  size_t maxHeadBytes = 64U << 10;
  size_t maxBodyBytes = 64U << 20;
};

/// Reads messages of one direction of one connection, one at a time.
///
/// Invariants: a message is complete only when its framing says so; a message with both a length and chunks, or with
/// two lengths, is malformed; after an error nothing more is read.
class HttpReader {
 public:
  enum class Kind { kRequests, kResponses };

  HttpReader(Kind kind, const HttpReaderLimits& limits);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Reads on from the front of `bytes`, up to the end of a message, and cuts off what was read.
  HttpProgress feed(std::string_view* bytes);

  /// The stream has ended in order.
  /// @return kMessage when that completed a message without a length
  HttpProgress finish();

  /// The next response has no body whatever its head says, as those to HEAD.
  void expectNoBody() { skipBody_ = true; }

  /// Changes the limits for what is read from now on.
  void setLimits(const HttpReaderLimits& limits) { limits_ = limits; }

  /// @return whether a message has begun and is not complete.
  bool midMessage() const { return begun_ && !complete_; }

  /// @return whether the head of the message in progress is complete.
  bool headComplete() const { return headComplete_; }

  const HttpHead& head() const { return head_; }
  size_t bodyBytes() const { return body_.size(); }

  /// Takes the complete message; reading may go on with the next one.
  HttpHead takeHead();
  std::string takeBody();

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
  HttpProgress progressAfter(size_t consumed, size_t offered);

  http_parser parser_;
  HttpReaderLimits limits_;
  HttpHead head_;
  std::string body_;
  size_t headBytes_ = 0;
  bool readingValue_ = false;  // the last piece of a header was of its value
  bool begun_ = false;
  bool headComplete_ = false;
  bool complete_ = false;
  bool skipBody_ = false;
  HttpProgress failure_ = HttpProgress::kIncomplete;  // an error, once there was one
};

/// @return the headers of a message without those that concern one connection only.
std::vector<wire::HttpHeader> endToEndHeaders(std::vector<wire::HttpHeader> headers);

}  // namespace driftlug::transport
