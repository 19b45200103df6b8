#include "controller/convergence_times.h"

namespace driftlug::controller {
namespace {

/// Bounds the pending revisions while an inactive relay prevents convergence.
constexpr size_t kMaxPending = 1024;

}  // namespace

void ConvergenceTimes::onCommit(int64_t revision) {
  if (pending_.size() >= kMaxPending) pending_.pop_front();
  pending_.push_back({revision, time_.now()});
}

void ConvergenceTimes::onReport() {
  while (!pending_.empty() && tracker_.inForceEverywhere(pending_.front().revision)) {
    const auto took = time_.now() - pending_.front().committedAt;
    log_.info("revision {} is in force on all nodes, {} ms after its commit", pending_.front().revision,
              base::millisecondsOf(took));
    histogram_.record(took);
    pending_.pop_front();
  }
}

}  // namespace driftlug::controller
