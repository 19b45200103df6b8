#include "wire/frame.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/random.h"

using namespace driftlug;

namespace {

wire::CallRequest someRequest() {
  wire::CallRequest request;
  request.callId = 77;
  request.serviceName = "claims";
  request.body = std::string(3000, 'x');
  return request;
}

}  // namespace

TEST_CASE("a frame survives being cut at every byte") {
  const auto frame = wire::encodeFrame(someRequest());
  for (size_t cut = 0; cut <= frame->size(); cut += 7) {
    wire::FrameReader reader;
    wire::Message message;
    reader.append(std::string_view(*frame).substr(0, cut));
    const auto first = reader.next(&message);
    REQUIRE(first.ok());
    if (!*first) {
      reader.append(std::string_view(*frame).substr(cut));
      REQUIRE(*reader.next(&message));
    }
    CHECK(std::get<wire::CallRequest>(message).body.size() == 3000);
    CHECK_FALSE(reader.midFrame());
  }
}

TEST_CASE("a frame over the size limit is refused before its content arrives") {
  wire::FrameReader reader;
  wire::Message message;
  reader.append(std::string("\xff\xff\xff\xff", 4));
  CHECK(base::errorCodeOf(reader.next(&message).status()) == base::ErrorCode::kFrameTooLarge);
}

TEST_CASE("random bytes never crash the decoder") {
  base::RandomSource random(7);
  int refused = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes(1 + random.below(60), '\0');
    for (auto& byte : bytes) byte = static_cast<char>(random.below(256));
    bytes[0] = static_cast<char>(random.below(30));
    if (!wire::decodeFrame(bytes).ok()) ++refused;
  }
  CHECK(refused > 10000);
}

TEST_CASE("a damaged frame is refused or decodes to another whole message") {
  base::RandomSource random(8);
  const auto frame = wire::encodeFrame(someRequest());
  for (int round = 0; round < 2000; ++round) {
    auto damaged = frame->substr(wire::kLengthBytes);
    damaged[random.below(damaged.size())] ^= static_cast<char>(1 + random.below(255));
    const auto decoded = wire::decodeFrame(damaged);
    if (!decoded.ok()) CHECK(base::errorCodeOf(decoded.status()) == base::ErrorCode::kBadFrame);
  }
}
