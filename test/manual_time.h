/// A clock that tests advance explicitly.
#pragma once

#include "base/time.h"

namespace driftlug::test {

class ManualTime : public base::TimeSource {
 public:
  base::TimePoint now() const override { return now_; }
  void advance(base::Duration duration) { now_ += duration; }

 private:
  base::TimePoint now_{base::seconds(1)};
};

}  // namespace driftlug::test
