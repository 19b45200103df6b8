#include "simulation/event_queue.h"

#include <algorithm>
#include <tuple>

namespace driftlug::simulation {

EventId EventQueue::at(base::TimePoint time, std::function<void()> action) {
  const auto id = nextId_++;
  order_.push({std::max(time, now_), id});
  actions_.emplace(id, std::move(action));
  return id;
}

bool EventQueue::runNext(base::TimePoint limit) {
  while (!order_.empty() && order_.top().time <= limit) {
    const auto entry = order_.top();
    order_.pop();
    auto found = actions_.find(entry.id);
    if (found == actions_.end()) continue;
    auto action = std::move(found->second);
    actions_.erase(found);
    now_ = entry.time;
    ++executed_;
    action();
    return true;
  }
  now_ = std::max(now_, limit);
  return false;
}

}  // namespace driftlug::simulation
