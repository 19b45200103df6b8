#include "transport/http_reader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <bit>

#include "transport/http.h"

namespace driftlug::transport {
namespace {

/// Capacity of the buffer of a body without a length when it is first extended.
constexpr size_t kMinGrowthBytes = size_t{64} << 10;

HttpReader* readerOf(http_parser* parser) { return static_cast<HttpReader*>(parser->data); }

}  // namespace

const http_parser_settings& HttpReader::settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_message_begin = &HttpReader::onMessageBegin;
    made.on_url = &HttpReader::onTarget;
    made.on_header_field = &HttpReader::onHeaderField;
    made.on_header_value = &HttpReader::onHeaderValue;
    made.on_headers_complete = &HttpReader::onHeadersComplete;
    made.on_body = &HttpReader::onBody;
    made.on_message_complete = &HttpReader::onMessageComplete;
    return made;
  }();
  return settings;
}

HttpReader::HttpReader(Kind kind, const HttpReaderLimits& limits) : limits_(limits), validator_(kind) {
  http_parser_init(&parser_, kind == Kind::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

HttpProgress HttpReader::feed(std::string_view* bytes) {
  if (failure_ != HttpProgress::kIncomplete) return failure_;
  if (bytes->empty()) return HttpProgress::kIncomplete;
  if (awaitedBytes_ > 0) {
    if (!reserveBody(awaitedBytes_)) return HttpProgress::kAwaitingRoom;
    awaitedBytes_ = 0;
    http_parser_pause(&parser_, 0);
  }
  if (!headComplete_) {
    headError_ = validator_.check(*bytes);
    if (headError_ != wire::HttpHeadError::kNone) {
      failure_ = HttpProgress::kMalformed;
      return dropBody();
    }
  }
  const auto offered = bytes->size();
  const auto consumed = http_parser_execute(&parser_, &settings(), bytes->data(), offered);
  bytes->remove_prefix(std::min(consumed, offered));
  return progressAfter(consumed, offered);
}

HttpProgress HttpReader::finish() {
  if (failure_ != HttpProgress::kIncomplete) return failure_;
  if (!begun_ || complete_) return HttpProgress::kIncomplete;
  (void)http_parser_execute(&parser_, &settings(), nullptr, 0);
  return progressAfter(0, 0);
}

HttpProgress HttpReader::progressAfter(size_t consumed, size_t offered) {
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  if (failure_ != HttpProgress::kIncomplete) return dropBody();
  if (complete_) {
    if (error == HPE_PAUSED) http_parser_pause(&parser_, 0);
    return HttpProgress::kMessage;
  }
  if (awaitedBytes_ > 0) return HttpProgress::kAwaitingRoom;
  if (error == HPE_OK && consumed == offered) return HttpProgress::kIncomplete;
  failure_ = error == HPE_HEADER_OVERFLOW ? HttpProgress::kHeadTooLarge : HttpProgress::kMalformed;
  return dropBody();
}

/// Frees what was read of a message that will not be completed.
/// @return the error
HttpProgress HttpReader::dropBody() {
  body_ = {};
  reservation_.release();
  return failure_;
}

HttpHead HttpReader::takeHead() {
  HttpHead head = std::move(head_);
  head_ = HttpHead{};
  return head;
}

std::string HttpReader::takeBody() { return takeSharedBody().take(); }

memory::shared_body HttpReader::takeSharedBody() {
  memory::shared_body body(std::move(body_), std::move(reservation_));
  body_.clear();
  reservation_.release();
  validator_.reset();
  begun_ = false;
  headComplete_ = false;
  complete_ = false;
  skipBody_ = false;
  return body;
}

bool HttpReader::addHeadBytes(size_t length) {
  headBytes_ += length;
  if (headBytes_ <= limits_.maxHeadBytes) return true;
  failure_ = HttpProgress::kHeadTooLarge;
  return false;
}

/// Trailers are dropped, but a message with an invalid one is malformed.
bool HttpReader::checkTrailerName(std::string_view name) {
  if (std::all_of(name.begin(), name.end(), wire::isFieldNameCharacter)) return true;
  headError_ = wire::HttpHeadError::kFieldName;
  failure_ = HttpProgress::kMalformed;
  return false;
}

int HttpReader::onMessageBegin(http_parser* parser) {
  auto* reader = readerOf(parser);
  reader->begun_ = true;
  reader->headBytes_ = 0;
  reader->readingValue_ = false;
  reader->head_ = HttpHead{};
  reader->body_.clear();
  reader->reservation_.release();
  return 0;
}

int HttpReader::onTarget(http_parser* parser, const char* at, size_t length) {
  auto* reader = readerOf(parser);
  if (!reader->addHeadBytes(length)) return 1;
  reader->head_.target.append(at, length);
  return 0;
}

int HttpReader::onHeaderField(http_parser* parser, const char* at, size_t length) {
  auto* reader = readerOf(parser);
  if (!reader->addHeadBytes(length)) return 1;
  if (reader->headComplete_) return reader->checkTrailerName({at, length}) ? 0 : 1;
  auto& headers = reader->head_.headers;
  if (headers.empty() || reader->readingValue_) headers.emplace_back();
  reader->readingValue_ = false;
  for (size_t i = 0; i < length; ++i) headers.back().name.push_back(absl::ascii_tolower(at[i]));
  return 0;
}

int HttpReader::onHeaderValue(http_parser* parser, const char* at, size_t length) {
  auto* reader = readerOf(parser);
  if (!reader->addHeadBytes(length)) return 1;
  if (reader->headComplete_) return 0;
  reader->readingValue_ = true;
  reader->head_.headers.back().value.append(at, length);
  return 0;
}

int HttpReader::onHeadersComplete(http_parser* parser) {
  auto* reader = readerOf(parser);
  reader->headComplete_ = true;
  auto& head = reader->head_;
  for (auto& header : head.headers) header.value = std::string(absl::StripAsciiWhitespace(header.value));
  head.status = static_cast<int>(parser->status_code);
  head.keepAlive = http_should_keep_alive(parser) != 0;
  head.http10 = parser->http_major == 1 && parser->http_minor == 0;
  if (parser->type == HTTP_REQUEST) {
    head.method = http_method_str(static_cast<http_method>(parser->method));
    if (parser->method == HTTP_CONNECT) return -1;
    parser->upgrade = 0;  // declines the upgrade: the request is answered as an ordinary one
  }
  if (reader->skipBody_ || (parser->type == HTTP_RESPONSE && !statusHasBody(head.status))) return 1;
  const bool sized = (parser->flags & F_CONTENTLENGTH) != 0;
  if (!sized) return 0;
  if (parser->content_length > reader->limits_.maxBodyBytes) {
    reader->failure_ = HttpProgress::kBodyTooLarge;
    return -1;
  }
  if (parser->content_length > 0 && !reader->reserveBody(parser->content_length)) {
    const auto* budget = reader->limits_.budget;
    if (!budget->fitsAlone(static_cast<int64_t>(parser->content_length))) {
      reader->failure_ = HttpProgress::kNoRoom;
      return -1;
    }
    reader->awaitedBytes_ = parser->content_length;
    http_parser_pause(parser, 1);
  }
  return 0;
}

/// Reserves the body of a message with a length.
/// @return whether there was room
bool HttpReader::reserveBody(size_t bytes) {
  if (limits_.budget == nullptr) return true;
  auto reservation = limits_.budget->reserve(limits_.use, static_cast<int64_t>(bytes));
  if (!reservation) return false;
  reservation_ = std::move(*reservation);
  // Pages that are not written yet take no memory.
  body_.reserve(bytes);
  return true;
}

/// Extends the buffer of a message without a length, so that it takes the given number of bytes.
/// @return whether there was room
bool HttpReader::growBody(size_t bytes) {
  if (limits_.budget == nullptr || bytes <= static_cast<size_t>(reservation_.bytes())) return true;
  const auto capacity = std::min(limits_.maxBodyBytes, std::max(kMinGrowthBytes, std::bit_ceil(bytes)));
  if (reservation_.bytes() == 0) {
    auto reservation = limits_.budget->reserve(limits_.use, static_cast<int64_t>(capacity));
    if (!reservation) return false;
    reservation_ = std::move(*reservation);
  } else if (!reservation_.resize(static_cast<int64_t>(capacity))) {
    return false;
  }
  body_.reserve(capacity);
  return true;
}

int HttpReader::onBody(http_parser* parser, const char* at, size_t length) {
  auto* reader = readerOf(parser);
  if (reader->body_.size() + length > reader->limits_.maxBodyBytes) {
    reader->failure_ = HttpProgress::kBodyTooLarge;
    return 1;
  }
  if (!reader->growBody(reader->body_.size() + length)) {
    reader->failure_ = HttpProgress::kNoRoom;
    return 1;
  }
  reader->body_.append(at, length);
  return 0;
}

int HttpReader::onMessageComplete(http_parser* parser) {
  readerOf(parser)->complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

std::vector<wire::HttpHeader> endToEndHeaders(std::vector<wire::HttpHeader> headers) {
  std::vector<std::string> named;
  for (const auto& header : headers) {
    if (header.name != "connection") continue;
    for (const auto& token : absl::StrSplit(header.value, ',')) {
      named.push_back(absl::AsciiStrToLower(absl::StripAsciiWhitespace(token)));
    }
  }
  std::erase_if(headers, [&](const auto& header) {
    return isHopByHop(header.name) || std::find(named.begin(), named.end(), header.name) != named.end();
  });
  return headers;
}

}  // namespace driftlug::transport
