#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>

#include "base/log.h"

int main(int argc, char** argv) {
  // DRIFTLUG_TEST_LOG=info shows the log lines of a test's processes.
  const char* level = std::getenv("DRIFTLUG_TEST_LOG");
  driftlug::base::configureLogs(false, level != nullptr ? level : "off");
  return Catch::Session().run(argc, argv);
}
