#include "simulation/processor.h"

#include <algorithm>
#include <utility>

namespace driftlug::simulation {

void Processor::run(bool isTimer, std::function<void()> action) {
  const bool free = !working_ && queue_.now() >= freeAt_ && timers_.empty() && messages_.empty();
  if (free) return runNow(action);
  if (isTimer) {
    timers_.push_back(std::move(action));
  } else {
    messages_.push_back({queue_.now(), std::move(action)});
  }
  scheduleWakeUp();
}

void Processor::runAfterCurrentEvent(std::function<void()> action) {
  if (!working_) return action();
  deferred_.push_back(std::move(action));
}

void Processor::runNow(const std::function<void()>& action) {
  working_ = true;
  (void)meter_();
  action();
  const auto duration = meter_();
  working_ = false;
  longestAction_ = std::max(longestAction_, duration);
  freeAt_ = queue_.now() + duration;
  auto deferred = std::exchange(deferred_, {});
  if (deferred.empty()) return;
  queue_.after(duration, [deferred = std::move(deferred)] {
    for (const auto& end : deferred) end();
  });
}

std::function<void()> Processor::takeNext() {
  std::function<void()> action;
  if (timers_.empty()) {
    action = std::move(messages_.front().action);
    messages_.pop_front();
  } else {
    action = std::move(timers_.front());
    timers_.pop_front();
  }
  return action;
}

void Processor::scheduleWakeUp() {
  if (wakeUpScheduled_) return;
  wakeUpScheduled_ = true;
  queue_.at(std::max(freeAt_, queue_.now()), [this] {
    wakeUpScheduled_ = false;
    while (queue_.now() >= freeAt_ && (!timers_.empty() || !messages_.empty())) {
      runNow(takeNext());
    }
    if (!timers_.empty() || !messages_.empty()) scheduleWakeUp();
  });
}

}  // namespace driftlug::simulation
