/// Rate-limited log of decisions, one line with the reasons for each. Routine lines have a lower limit than failures,
/// so that they are dropped first under load.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "base/log.h"
#include "base/time.h"

namespace driftlug::base {

/// Priority of a line when not all lines can be written.
enum class LinePriority : size_t {
  kFailure = 0,  ///< something was rejected, abandoned, or has an unknown outcome
  kRoutine = 1,  ///< normal operation
};

/// Rate limits of a log.
struct DecisionLogLimits {
  double failuresPerSecond = 40;
  double routinePerSecond = 4;
  double burstSeconds = 2;  ///< burst capacity, in seconds of the rate
};

/// Limits for events that may occur for each connection, such as a reached connection limit.
inline constexpr DecisionLogLimits kOneLinePerSecond{1, 1, 1};

/// Writes lines of `key=value` fields with a prefix. Each priority has its own token bucket. Dropped lines are counted,
/// and the next line of the same priority reports their number.
class DecisionLog {
 public:
  DecisionLog(std::string_view prefix, const TimeSource& time, DecisionLogLimits limits = {});

  /// Writes a line unless its bucket is empty. `makeLine` is called only if the line is written.
  template <typename MakeLine>
  void write(LinePriority priority, MakeLine makeLine) {
    if (!admit(priority)) return;
    emit(priority, makeLine());
  }

  /// @return number of dropped lines.
  int64_t dropped() const { return totalDropped_; }

 private:
  struct Bucket {
    double perSecond = 0;
    double tokens = 0;
    TimePoint refilledAt{};
    int64_t dropped = 0;  // since the last written line of this priority
  };

  bool admit(LinePriority priority);
  void emit(LinePriority priority, const std::string& line);

  Logger log_;
  const TimeSource& time_;
  double burstSeconds_;
  std::array<Bucket, 2> buckets_;
  int64_t totalDropped_ = 0;
};

}  // namespace driftlug::base
