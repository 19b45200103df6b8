#include "wire/deflate.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/random.h"
#include "wire/frame.h"

namespace driftlug::wire {

TEST_CASE("the stream is decompressed completely after each flush, however the input is split") {
  base::RandomSource random(5);
  Deflater deflater;
  Inflater inflater;
  std::string sent;
  std::string restored;
  for (int round = 0; round < 200; ++round) {
    std::string frame(random.below(round % 5 == 0 ? 40000 : 9000), '\0');
    for (auto& byte : frame) byte = static_cast<char>(random.below(round % 2 == 0 ? 4 : 256));
    sent += frame;
    const auto packed = deflater.add(frame);
    size_t offset = 0;
    while (offset < packed.size()) {
      const auto piece = std::string_view(packed).substr(offset, 1 + random.below(3000));
      REQUIRE(inflater.add(piece, &restored).ok());
      offset += piece.size();
    }
    REQUIRE(restored == sent);
  }
}

TEST_CASE("similar headers compress to a fraction of their size") {
  Deflater deflater;
  size_t last = 0;
  for (int i = 0; i < 5; ++i) {
    CallRequest request;
    request.method = "GET";
    request.path = "/claims/" + std::to_string(7919 * i);
    HttpHeader header;
    header.name = "user-agent";
    header.value = "a client with a long name, version 1.9.3";
    request.headers.push_back(header);
    last = deflater.add(*encodeFrame(request)).size();
  }
  CHECK(last < 40);
}

TEST_CASE("headers still compress after a long body") {
  Deflater deflater;
  Inflater inflater;
  std::string restored;
  const std::string head = "a head that comes again and again, with much that is alike in it";
  base::RandomSource random(7);
  std::string body(60000, '\0');
  for (auto& byte : body) byte = static_cast<char>(random.below(256));
  for (int i = 0; i < 4; ++i) {
    CHECK(deflater.add(head).size() <= head.size() + 8);
    CHECK(deflater.add(body).size() <= body.size() + 200);
    const auto again = deflater.add(head);
    CHECK(deflater.add(head).size() < head.size() / 2);
  }
}

TEST_CASE("a damaged stream is a typed error") {
  Deflater deflater;
  auto packed = deflater.add(std::string(1000, 'a'));
  packed[0] = '\x07';
  Inflater inflater;
  std::string restored;
  CHECK(base::errorCodeOf(inflater.add(packed, &restored)) == base::ErrorCode::kBadFrame);
}

}  // namespace driftlug::wire
