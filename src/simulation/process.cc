#include "simulation/process.h"

namespace driftlug::simulation {

base::TimerId Process::schedule(base::Duration delay, std::function<void()> callback) {
  auto id = std::make_shared<EventId>(0);
  *id = queue_.after(delay, [this, id, incarnation = incarnation_, callback = std::move(callback)]() mutable {
    runOrDefer(incarnation, *id, std::move(callback));
  });
  return *id;
}

void Process::cancel(base::TimerId id) {
  queue_.cancel(id);
  // The timer may have come due while the process was frozen.
  for (auto& deferred : deferred_) {
    if (deferred.id == id) deferred.action = nullptr;
  }
}

void Process::start() {
  alive_ = true;
  frozen_ = false;
  ++incarnation_;
}

void Process::kill() {
  alive_ = false;
  frozen_ = false;
  ++incarnation_;
  deferred_.clear();
}

void Process::setFrozen(bool frozen) {
  frozen_ = frozen;
  while (!frozen_ && !deferred_.empty()) {
    auto action = std::move(deferred_.front().action);
    deferred_.pop_front();
    if (!action) continue;
    action();
    if (eventHook_) eventHook_();
  }
}

void Process::run(uint64_t incarnation, std::function<void()> action) {
  constexpr EventId kNoTimer = 0;
  runOrDefer(incarnation, kNoTimer, std::move(action));
}

void Process::runOrDefer(uint64_t incarnation, EventId id, std::function<void()> action) {
  if (!alive_ || incarnation != incarnation_) return;
  if (frozen_) {
    deferred_.push_back({id, std::move(action)});
    return;
  }
  action();
  if (eventHook_) eventHook_();
}

}  // namespace driftlug::simulation
