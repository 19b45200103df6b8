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
  wake();
}

void Processor::afterwards(std::function<void()> action) {
  if (!working_) return action();
  atEndOfTurn_.push_back(std::move(action));
}

void Processor::runNow(const std::function<void()>& action) {
  working_ = true;
  (void)meter_();
  action();
  const auto took = meter_();
  working_ = false;
  longest_ = std::max(longest_, took);
  freeAt_ = queue_.now() + took;
  auto ending = std::exchange(atEndOfTurn_, {});
  if (ending.empty()) return;
  queue_.after(took, [ending = std::move(ending)] {
    for (const auto& end : ending) end();
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

void Processor::wake() {
  if (waking_) return;
  waking_ = true;
  queue_.at(std::max(freeAt_, queue_.now()), [this] {
    waking_ = false;
    while (queue_.now() >= freeAt_ && (!timers_.empty() || !messages_.empty())) {
      runNow(takeNext());
    }
    if (!timers_.empty() || !messages_.empty()) wake();
  });
}

}  // namespace driftlug::simulation
