#include "base/time.h"

#include <ctime>

namespace driftlug::base {

BootClock::time_point BootClock::now() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  const auto sinceBoot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return time_point(std::chrono::duration_cast<duration>(sinceBoot));
}

}  // namespace driftlug::base
