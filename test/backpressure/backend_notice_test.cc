#include "backpressure/backend_notice.h"

#include <catch2/catch.hpp>
#include <vector>

#include "backpressure/advertised_rate.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::backpressure {
namespace {
const notice_headers kNames{{"limit", "vendor-limit"}, {"leaving"}};

wire::HttpHeader header(const std::string& _name, const std::string& _value) {
  wire::HttpHeader made;
  made.name = _name;
  made.value = _value;
  return made;
}

backend_notice noticeOf(const std::vector<std::string>& _limits) {
  std::vector<wire::HttpHeader> headers{header("content-type", "text/plain")};
  for (const auto& limit : _limits) {
    headers.push_back(header("limit", limit));
  }
  return readNotice(headers, kNames);
}

backend_notice limitOf(double _ratePerS) {
  backend_notice notice;
  notice.ratePerS = _ratePerS;
  return notice;
}

base::TimePoint at(int _ms) { return base::TimePoint{} + base::milliseconds(1000 + _ms); }

}  // namespace

TEST_CASE("a rate limit is a decimal number of requests, and anything else is reported as unreadable") {
  CHECK(noticeOf({"5.3"}).ratePerS == 5.3);
  CHECK(noticeOf({"0"}).ratePerS == 0);
  CHECK(readNotice(std::vector{header("vendor-limit", "2")}, kNames).ratePerS == 2);
  CHECK(noticeOf({"0.5", "7"}).ratePerS == 0.5);
  CHECK(noticeOf({"many", "7"}).ratePerS == 7);
  CHECK(noticeOf({"1e308"}).ratePerS == 1e308);
  CHECK(!noticeOf({}).ratePerS);
  CHECK(!noticeOf({}).unreadableLimit);
  for (const char* text : {"", "-1", "-0.1", "nan", "inf", "1e999", "5,3", "5 per s", "0x10"}) {
    CAPTURE(text);
    CHECK(!noticeOf({text}).ratePerS);
    CHECK(noticeOf({text}).unreadableLimit == std::string(text));
  }
}

TEST_CASE("only the value 1 says that a back end is leaving") {
  CHECK(readNotice(std::vector{header("leaving", "1")}, kNames).leaving);
  CHECK(!readNotice(std::vector{header("leaving", "0")}, kNames).leaving);
  CHECK(!readNotice(std::vector{header("leaving", "")}, kNames).leaving);
  CHECK(!readNotice(std::vector{header("leaving", "1")}, {}).leaving);
}

TEST_CASE("a response to an earlier request does not end or raise a rate limit, and a later one does") {
  advertised_rate rate;
  CHECK(rate.onResponse(limitOf(5), at(0), at(100)));
  CHECK(!rate.onResponse({}, at(50), at(150)));
  CHECK(!rate.onResponse(limitOf(8), at(99), at(160)));
  CHECK(rate.ratePerS() == 5);
  CHECK(rate.onResponse(limitOf(8), at(100), at(200)));
  CHECK(rate.ratePerS() == 8);
  CHECK(rate.onResponse({}, at(200), at(300)));
  CHECK(!rate.ratePerS());
}

TEST_CASE("a lower rate limit counts at once, and an unreadable one changes nothing") {
  advertised_rate rate;
  rate.onResponse(limitOf(8), at(0), at(100));
  CHECK(rate.onResponse(limitOf(3), at(50), at(150)));
  backend_notice unreadable;
  unreadable.unreadableLimit = "many";
  CHECK(!rate.onResponse(unreadable, at(200), at(300)));
  CHECK(rate.ratePerS() == 3);
}

TEST_CASE("a hint counts until the first response") {
  advertised_rate rate;
  CHECK(rate.onHint(5, at(0)));
  CHECK(!rate.onHint(8, at(1)));
  CHECK(rate.onHint(4, at(2)));
  CHECK(!rate.onHint(-1, at(2)));
  CHECK(rate.onResponse({}, at(10), at(50)));
  CHECK(!rate.onHint(4, at(60)));
  CHECK(!rate.ratePerS());
}

}  // namespace driftlug::backpressure
