#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "base/log.h"

int main(int argc, char** argv) {
  driftlug::base::configureLogs(false, "off");
  return Catch::Session().run(argc, argv);
}
