#include "transport/http_reader.h"

#include <catch2/catch.hpp>

#include "base/random.h"

namespace driftlug::transport {
namespace {

constexpr size_t kMaxBody = 4096;

/// Result of reading a stream.
struct ReadResult {
  std::vector<std::string> messages;  ///< start line, headers and body of each complete message
  HttpProgress last = HttpProgress::kIncomplete;

  bool operator==(const ReadResult&) const = default;
};

/// Feeds a stream in pieces of random sizes, or in one piece if `random` is null.
ReadResult readInPieces(HttpReader::Kind kind, const std::string& stream, base::RandomSource* random) {
  HttpReader reader(kind, {2048, kMaxBody});
  ReadResult outcome;
  size_t offset = 0;
  while (offset < stream.size()) {
    const size_t length = random == nullptr ? stream.size() : 1 + random->below(40);
    std::string_view piece = std::string_view(stream).substr(offset, length);
    offset += piece.size();
    while (!piece.empty()) {
      outcome.last = reader.feed(&piece);
      REQUIRE(reader.bodyBytes() <= kMaxBody);
      if (outcome.last == HttpProgress::kIncomplete) break;
      if (outcome.last != HttpProgress::kMessage) return outcome;
      const auto head = reader.takeHead();
      std::string text = head.method + " " + head.target + " " + std::to_string(head.status);
      for (const auto& header : head.headers) text += "|" + header.name + "=" + header.value;
      outcome.messages.push_back(text + "|" + reader.takeBody());
    }
  }
  return outcome;
}

const std::vector<std::string>& samples(HttpReader::Kind kind) {
  static const std::vector<std::string> requests{
      "GET /a?b=c HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n",
      "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789",
      "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n"};
  static const std::vector<std::string> responses{
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Id: 1\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n"};
  return kind == HttpReader::Kind::kRequests ? requests : responses;
}

}  // namespace

TEST_CASE("the result does not depend on how a stream is split into pieces") {
  const auto kind = GENERATE(HttpReader::Kind::kRequests, HttpReader::Kind::kResponses);
  base::RandomSource random(11);
  for (int round = 0; round < 300; ++round) {
    std::string stream;
    for (int i = 0; i < 4; ++i) stream += samples(kind)[random.below(samples(kind).size())];
    const auto whole = readInPieces(kind, stream, nullptr);
    REQUIRE(whole.messages.size() == 4);
    REQUIRE(readInPieces(kind, stream, &random) == whole);
  }
}

TEST_CASE("a damaged stream never exceeds the limits and gives the same messages however it is split") {
  const auto kind = GENERATE(HttpReader::Kind::kRequests, HttpReader::Kind::kResponses);
  base::RandomSource random(12);
  for (int round = 0; round < 3000; ++round) {
    std::string stream;
    for (int i = 0; i < 3; ++i) stream += samples(kind)[random.below(samples(kind).size())];
    const auto damages = 1 + random.below(6);
    for (uint64_t i = 0; i < damages; ++i) {
      const auto at = random.below(stream.size());
      switch (random.below(3)) {
        case 0:
          stream[at] = static_cast<char>(random.below(256));
          break;
        case 1:
          stream.erase(at, 1 + random.below(5));
          break;
        default:
          stream.insert(at, stream.substr(random.below(stream.size()), random.below(30)));
      }
      if (stream.empty()) stream = "x";
    }
    const auto whole = readInPieces(kind, stream, nullptr);
    const auto pieces = readInPieces(kind, stream, &random);
    REQUIRE(pieces.messages == whole.messages);
  }
}

TEST_CASE("a response without a length is complete only after an orderly end of the connection") {
  HttpReader reader(HttpReader::Kind::kResponses, {});
  const std::string text = "HTTP/1.1 200 OK\r\n\r\nsome bytes";
  std::string_view bytes = text;
  CHECK(reader.feed(&bytes) == HttpProgress::kIncomplete);
  CHECK(reader.finish() == HttpProgress::kMessage);
  CHECK(reader.takeBody() == "some bytes");
}

TEST_CASE("a truncated response is not complete, even after an orderly end of the connection") {
  const std::string text = GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nsome bytes",
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "HTTP/1.1 20");
  HttpReader reader(HttpReader::Kind::kResponses, {});
  std::string_view bytes = text;
  CHECK(reader.feed(&bytes) == HttpProgress::kIncomplete);
  CHECK(reader.finish() != HttpProgress::kMessage);
}

}  // namespace driftlug::transport
