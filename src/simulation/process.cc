#include "simulation/process.h"

#include <utility>

namespace driftlug::simulation {

base::TimerId Process::schedule(base::Duration delay, std::function<void()> callback) {
  auto timer = std::make_shared<Timer>();
  timer->due = now() + delay;
  timer->incarnation = incarnation_;
  timer->callback = std::move(callback);
  timer->id = queue_.after(delay, [this, timer] { runTimer(timer); });
  return timer->id;
}

void Process::cancel(base::TimerId id) {
  const auto rescheduled = rescheduledEvents_.extract(id);
  queue_.cancel(rescheduled ? rescheduled.mapped() : id);
  for (auto* timers : {&dueWhileFrozen_, &dueWhileBusy_}) {
    for (auto& timer : *timers) {
      if (timer->id == id) timer->callback = nullptr;
    }
  }
}

base::TimePoint Process::inputReadUntil() const {
  if (readUntil_) return *readUntil_;
  return processor_ == nullptr ? now() : processor_->inputReadUntil() - clockLag_;
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
  dueWhileFrozen_.clear();
  dueWhileBusy_.clear();
  pendingActions_.clear();
  rescheduledEvents_.clear();
  onResumedHandler_ = nullptr;
}

void Process::setFrozen(bool frozen) {
  if (std::exchange(frozen_, frozen) == frozen) return;
  if (frozen) {
    frozenAt_ = queue_.now();
  } else {
    thaw();
  }
}

void Process::thaw() {
  const auto frozenFor = queue_.now() - frozenAt_;
  readUntil_ = frozenAt_ - clockLag_;
  if (clockStopsWhileFrozen_) clockLag_ += frozenFor;
  while (!dueWhileFrozen_.empty()) {
    const auto timer = std::move(dueWhileFrozen_.front());
    dueWhileFrozen_.pop_front();
    runTimer(timer);
  }
  if (onResumedHandler_ && !clockStopsWhileFrozen_ && frozenFor >= base::kStallThreshold) runNow(onResumedHandler_);
  readUntil_.reset();
  while (!pendingActions_.empty()) {
    const auto action = std::move(pendingActions_.front());
    pendingActions_.pop_front();
    run(incarnation_, action);
  }
}

void Process::run(uint64_t incarnation, std::function<void()> action) {
  if (!alive_ || incarnation != incarnation_) return;
  if (frozen_) {
    pendingActions_.push_back(std::move(action));
  } else if (processor_ != nullptr) {
    processor_->run(false, [this, incarnation, action = std::move(action)] {
      if (!alive_ || incarnation != incarnation_) return;
      if (frozen_) return pendingActions_.push_back(action);
      runNow(action);
    });
  } else {
    runNow(action);
  }
}

void Process::runAfterCurrentEvent(std::function<void()> action) {
  if (processor_ == nullptr) return action();
  processor_->runAfterCurrentEvent([this, incarnation = incarnation_, action = std::move(action)] {
    if (alive_ && incarnation == incarnation_) action();
  });
}

void Process::runTimer(const std::shared_ptr<Timer>& timer) {
  if (!alive_ || timer->incarnation != incarnation_ || !timer->callback) return;
  if (frozen_) {
    dueWhileFrozen_.push_back(timer);
  } else if (now() < timer->due) {
    rescheduledEvents_[timer->id] = queue_.after(timer->due - now(), [this, timer] { runTimer(timer); });
  } else if (processor_ != nullptr) {
    dueWhileBusy_.push_back(timer);
    processor_->run(true, [this, timer] { fire(timer); });
  } else {
    fire(timer);
  }
}

void Process::fire(const std::shared_ptr<Timer>& timer) {
  std::erase(dueWhileBusy_, timer);
  if (!alive_ || timer->incarnation != incarnation_ || !timer->callback) return;
  rescheduledEvents_.erase(timer->id);
  runNow(timer->callback);
}

void Process::runNow(const std::function<void()>& action) {
  action();
  if (eventHook_) eventHook_();
}

}  // namespace driftlug::simulation
