/// Load that the back end reports, and predictions of wait and run times, on the endpoint side.
#include <algorithm>
#include <cmath>
#include <variant>

#include "node/endpoint_calls.h"
#include "overload/load_report.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;

constexpr size_t kMaxShownValue = 64;

}  // namespace

/// Predicts holding times for the limiter from the calls in progress.
class EndpointCalls::CallHoldPredictor : public limits::HoldPredictor {
 public:
  explicit CallHoldPredictor(const EndpointCalls& calls) : calls_(calls) {}

  bool available() const override { return calls_.loadAware(); }

  base::Duration holdTime(limits::HoldKind kind) const override {
    return calls_.load_.serviceTimes.holdTime(kind, calls_.pace());
  }

  std::vector<limits::RunningHold> running() const override {
    std::vector<limits::RunningHold> holds;
    const auto now = calls_.scheduler_.now();
    const auto pace = calls_.pace();
    for (const auto& [key, call] : calls_.calls_) {
      if (!call.running) continue;
      const auto elapsed = calls_.load_.reports.usualTime(call.startedAt, now);
      holds.push_back({calls_.load_.serviceTimes.restTime(kindOf(call.request), elapsed, pace),
                       call.priority == limits::Priority::kNested,
                       calls_.load_.serviceTimes.deviation(kindOf(call.request), pace)});
    }
    return holds;
  }

  base::Duration meanHoldTime() const override {
    base::Duration sum{0};
    int64_t running = 0;
    const auto pace = calls_.pace();
    for (const auto& [key, call] : calls_.calls_) {
      if (!call.running) continue;
      ++running;
      sum += calls_.load_.serviceTimes.restTime(kindOf(call.request), base::Duration(0), pace);
    }
    return sum / std::max<int64_t>(1, running);
  }

 private:
  const EndpointCalls& calls_;
};

void EndpointCalls::startLoadPredictions() {
  holdPredictor_ = std::make_unique<CallHoldPredictor>(*this);
  limiter_.usePredictor(holdPredictor_.get());
}

bool EndpointCalls::loadAware() const {
  const auto report = load_.reports.current(scheduler_.now());
  return report && (report->pacePercent || load_.limitedTenants);
}

double EndpointCalls::pace() const { return load_.reports.pace(scheduler_.now()); }

std::optional<base::Duration> EndpointCalls::predictedRun(const wire::CallRequest& request) const {
  return load_.serviceTimes.runTime(kindOf(request), pace());
}

base::Duration EndpointCalls::predictedWait(const wire::CallRequest& request) const {
  Call further;
  auto& copy = further.request;  // without the body, which may be large
  copy.priority = request.priority;
  copy.targetLatencyMs = request.targetLatencyMs;
  copy.runOnce = request.runOnce;
  copy.idempotencyKey = request.idempotencyKey;
  further.nested = isNested(request);
  further.deadline = scheduler_.now() + base::milliseconds(request.remainingMs);
  return limiter_.expectedWait(priorityOf(further), latestStartOf(further));
}

void EndpointCalls::readLoad(const std::vector<wire::HttpHeader>& headers, base::TimePoint sentAt,
                             const std::string& source) {
  if (options_.loadHeader.empty()) return;
  const auto header = std::find_if(headers.begin(), headers.end(),
                                   [this](const auto& other) { return other.name == options_.loadHeader; });
  if (header == headers.end()) return;
  const auto read = overload::readLoadReport(header->value);
  if (const auto* error = std::get_if<overload::load_report_error>(&read)) {
    ++load_.unreadableReports;
    return load_.log.write(base::LinePriority::kFailure, [&] {
      return fmt::format("unreadable load report endpoint={} by {} error={} value={}", endpoint_, source,
                         overload::nameOf(*error), header->value.substr(0, kMaxShownValue));
    });
  }
  if (!load_.reports.onReport(std::get<overload::load_report>(read), sentAt, scheduler_.now())) return;
  if (pace() > load_.loggedPace * overload::reported_load::kNotableChange) refuseWaitingForPace();
  logPaceChange(source);
}

void EndpointCalls::onHealthLoad(const std::vector<wire::HttpHeader>& headers, base::TimePoint sentAt) {
  readLoad(headers, sentAt, "health_check");
}

void EndpointCalls::logPaceChange(const std::string& source) {
  const double now = pace();
  const auto ratio = std::max(now, load_.loggedPace) / std::min(now, load_.loggedPace);
  if (ratio < overload::reported_load::kNotableChange) return;
  load_.log.write(base::LinePriority::kRoutine, [&] {
    return fmt::format("pace changes endpoint={} percent={:.0f} before={:.0f} by {} running={} waiting={}", endpoint_,
                       100 * now, 100 * load_.loggedPace, source, limiter_.running(), limiter_.waiting());
  });
  load_.loggedPace = now;
}

void EndpointCalls::forgetLoad() {
  load_.reports.reset(scheduler_.now());
  load_.loggedPace = 1;
}

void EndpointCalls::learnServiceTime(const Call& call) {
  load_.serviceTimes.onRun(kindOf(call.request), load_.reports.usualTime(call.startedAt, scheduler_.now()));
}

/// Returns the load for a message about a call; nullopt where the deployment does not call for it.
std::optional<wire::EndpointLoad> EndpointCalls::loadFor(const wire::CallRequest& request) const {
  if (!loadAware()) return std::nullopt;
  const auto now = scheduler_.now();
  const auto report = load_.reports.current(now);
  // Requests that this node counts as running may wait in the back end, if it has fewer slots than the table allows.
  const int waitingInBackend = std::min(report->waiting, limiter_.running());
  wire::EndpointLoad load;
  load.running = limiter_.running() - waitingInBackend;
  load.waiting = static_cast<int>(limiter_.waiting()) + waitingInBackend;
  load.slots = limiter_.maxConcurrent();
  load.pacePercent = static_cast<int>(std::lround(100 * pace()));
  load.waitMs = base::millisecondsOf(predictedWait(request));
  load.runMs = base::millisecondsOf(predictedRun(request).value_or(base::Duration(0)));
  load.ageMs = base::millisecondsOf(*load_.reports.age(now));
  return load;
}

/// @return whether the back end is slow just now, so that a call misses its target here although it would meet it at
/// the usual pace, and its sender knows another endpoint.
///
/// Back ends are slow at different times, so another one most likely meets the target; the refusal costs a millisecond
/// or two. A back end that is always too slow for a kind does not refuse it: if the others are as slow, each call would
/// be refused by as many nodes as its sender tries, and served by none. Calls that would be late at the usual pace as
/// well are not refused, nor nested ones, whose late answer is useful to their outer call.
bool EndpointCalls::isTooSlowFor(const Call& call) const {
  const auto& request = call.request;
  if (!options_.waitWithinTarget || request.targetLatencyMs == 0 || !loadAware()) return false;
  if (!request.hasAlternative || call.nested) return false;
  const auto usual = load_.serviceTimes.runTime(kindOf(request), 1);
  const double remainingUs =
      remainingTargetUs(request) - static_cast<double>((scheduler_.now() - call.arrivedAt).count());
  return usual && static_cast<double>(usual->count()) <= remainingUs && averageRunUs(request) > remainingUs;
}

/// Refuses the queued calls that the back end has become too slow for, so that another endpoint can still take them in
/// time.
void EndpointCalls::refuseWaitingForPace() {
  std::vector<CallKey> tooSlow;
  for (const auto& [key, call] : calls_) {
    if (call.ticket != 0 && !call.running && !call.awaitsBody && isTooSlowFor(call)) tooSlow.push_back(key);
  }
  for (const auto& key : tooSlow) {
    const auto found = calls_.find(key);
    if (found != calls_.end() && limiter_.cancel(found->second.ticket)) refuseForPace(key);
  }
}

void EndpointCalls::refuseForPace(const CallKey& key) {
  ++load_.refusedForPace;
  const auto& call = calls_.at(key);
  const auto wait = predictedWait(call.request);
  // Names no back-off: slots may be free, and other kinds may be served in time.
  refuseWith(key, ErrorCode::kOverloaded, std::max(wait, options_.overloadRetryAfter), {});
}

}  // namespace driftlug::node
