#include "base/settings.h"

#include <gflags/gflags.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

DECLARE_string(config);

namespace driftlug::base {

TEST_CASE("reloadSetting() returns the current value in the file") {
  const std::string path = std::tmpnam(nullptr);
  const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
  FLAGS_config = path;
  write("seeds = \"10.0.0.1:1\"\n");
  CHECK(reloadSetting("seeds") == "10.0.0.1:1");
  write("seeds = [\"10.0.0.2:1\", \"10.0.0.3:1\"]\n");
  CHECK(reloadSetting("seeds") == "10.0.0.2:1,10.0.0.3:1");
  CHECK(!reloadSetting("other"));
  write("seeds = \n");
  CHECK(!reloadSetting("seeds"));
  std::remove(path.c_str());
  CHECK(!reloadSetting("seeds"));
  FLAGS_config = "";
}

}  // namespace driftlug::base
