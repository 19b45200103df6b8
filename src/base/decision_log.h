/// Bounded logs of decisions: one line each, with what decided it; under load the less important lines go first.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "base/log.h"
#include "base/time.h"

namespace driftlug::base {

/// How much a line is worth when not all can be written.
enum class LinePriority : size_t {
  kFailure = 0,  ///< something was refused, given up or is unknown
  kRoutine = 1,  ///< all went as it should
};

/// Lines that may be written.
struct DecisionLogLimits {
  double failuresPerSecond = 40;
  double routinePerSecond = 4;
  double burstSeconds = 2;  ///< lines saved up while it is quiet, as seconds of the rate
};

/// For what may happen with each connection, such as a bound that is reached.
inline constexpr DecisionLogLimits kOneLinePerSecond{1, 1, 1};

/// Writes lines of `key=value` fields behind a prefix, each kind of worth with a token bucket of its own. What was
/// dropped is counted and said with the next line of its kind.
class DecisionLog {
 public:
  DecisionLog(std::string_view prefix, const TimeSource& time, DecisionLogLimits limits = {});

  /// Writes a line unless its bucket is empty; the line is made only if it is written.
  template <typename MakeLine>
  void write(LinePriority priority, MakeLine makeLine) {
    if (!admit(priority)) return;
    emit(priority, makeLine());
  }

  /// @return lines that were not written.
  int64_t dropped() const { return totalDropped_; }

 private:
  struct Bucket {
    double perSecond = 0;
    double tokens = 0;
    TimePoint refilledAt{};
    int64_t dropped = 0;  // since the last line of this kind
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
