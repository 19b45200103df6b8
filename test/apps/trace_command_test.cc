#include "trace_command.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

namespace driftlug::apps {

TEST_CASE("a trace contains the lines of a call and of its nested calls in order of time, and no others") {
  const std::string entry = std::tmpnam(nullptr);
  const std::string endpoint = std::tmpnam(nullptr);
  std::ofstream(entry) << "2026-12-02T10:00:00.300 warning entry: outcome call=9c41 status=503\n"
                       << "2026-12-02T10:00:00.400 info entry: outcome call=9c410 status=200\n"
                       << "no time and no call\n";
  std::ofstream(endpoint) << "2026-12-02T10:00:00.200 warning endpoint: refused call=9c41 error=overloaded\n"
                          << "2026-12-02T10:00:00.250 warning endpoint: refused call=9c41.77 error=overloaded\n";
  const auto lines = traceLines("9c41", {entry, endpoint, "/nowhere"});
  REQUIRE(lines.size() == 3);
  CHECK(lines[0].file == endpoint);
  CHECK(lines[1].text.find("call=9c41.77") != std::string::npos);
  CHECK(lines[2].text == "warning entry: outcome call=9c41 status=503");
  CHECK(traceLines("77", {entry, endpoint}).empty());
  std::remove(entry.c_str());
  std::remove(endpoint.c_str());
}

}  // namespace driftlug::apps
