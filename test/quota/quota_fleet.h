/// Simulated fleet of nodes, relays and changing leaders that grant quota permits, on the virtual clock.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "quota/quota_grantor.h"
#include "quota/quota_queue.h"
#include "simulation/event_queue.h"
#include "simulation/process.h"

namespace driftlug::quota {

struct FleetOptions {
  int relays = 3;
  int nodes = 12;
  base::Duration oneWay = base::milliseconds(1);
  base::Duration relayBatch = base::milliseconds(10);
  std::map<std::string, quota_limit> limits = {{"tenant", {40, 20}}};
};

/// Tenants that send through all nodes. Messages are delayed, and lost while the link of a relay is cut. The leader may
/// be absent or frozen; a frozen leader holds messages until it thaws, and grants only while its lease is valid.
class Fleet {
 public:
  static constexpr base::Duration kLease = base::milliseconds(270);

  struct Outcomes {
    int64_t sent = 0;
    int64_t denied = 0;
    int64_t unanswered = 0;
    std::vector<base::TimePoint> granted;
    std::vector<base::Duration> waits;      // of granted requests
    std::vector<base::TimePoint> returnAt;  // retry times of denied requests
  };

  explicit Fleet(uint64_t seed, FleetOptions options = {})
      : options_(std::move(options)),
        random_(seed),
        process_(queue_, "fleet", {"zone", "region"}, {"10.0.0.1", 1}),
        cut_(static_cast<size_t>(options_.relays)),
        connections_(static_cast<size_t>(options_.relays)) {
    process_.start();
    const quota_queue_options nodeTimes{base::milliseconds(5), base::milliseconds(700), base::milliseconds(250)};
    const quota_queue_options relayTimes{options_.relayBatch, base::seconds(2), base::milliseconds(200)};
    for (int i = 0; i < options_.relays; ++i) {
      relays_.push_back(std::make_unique<quota_queue>(
          process_, relayTimes, [this, i](const wire::QuotaAsk& request) { return sendToLeader(i, request); }));
    }
    for (int i = 0; i < options_.nodes; ++i) {
      nodes_.push_back(std::make_unique<quota_queue>(
          process_, nodeTimes, [this, i](const wire::QuotaAsk& request) { return sendToRelay(i, request); }));
    }
    newLeader();
  }

  /// Sends requests of a tenant at a mean rate for the given duration.
  void send(double perSecond, base::Duration duration) { send({{"tenant", perSecond}}, duration); }

  /// Sends requests of several tenants, each at its mean rate.
  void send(const std::map<std::string, double>& rates, base::Duration duration) {
    const auto until = queue_.now() + duration;
    std::map<std::string, base::TimePoint> next;
    for (const auto& [tenant, perSecond] : rates) next[tenant] = queue_.now() + gap(perSecond);
    for (;;) {
      const auto first = std::min_element(
          next.begin(), next.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
      if (first->second >= until) break;
      runFor(first->second - queue_.now());
      request(first->first);
      first->second += gap(rates.at(first->first));
    }
    runFor(until - queue_.now());
  }

  void request(const std::string& tenant) {
    const auto node = static_cast<size_t>(random_.below(options_.nodes));
    auto& outcomes = outcomes_[tenant];
    ++outcomes.sent;
    const auto begin = queue_.now();
    nodes_[node]->wait(++lastOwner_, tenant, 1, permitWait_, [this, &outcomes, begin](const permit_outcome& outcome) {
      for (int i = 0; i < outcome.granted; ++i) {
        outcomes.granted.push_back(queue_.now());
        outcomes.waits.push_back(queue_.now() - begin);
      }
      if (outcome.denied > 0) outcomes.returnAt.push_back(queue_.now() + outcome.retryAfter);
      outcomes.denied += outcome.denied;
      outcomes.unanswered += outcome.unanswered;
    });
  }

  /// Starts a leader that knows nothing of its predecessor. Relays find it within some milliseconds.
  void newLeader() {
    addDeferred();
    grantor_ = std::make_unique<quota_grantor>(
        process_, [this](const std::string& tenant) { return std::optional(options_.limits.at(tenant)); });
    leaderless_ = false;
    frozen_ = false;
    leaseUntil_ = base::TimePoint::max();
    for (int i = 0; i < options_.relays; ++i) {
      process_.schedule(random_.duration(base::milliseconds(20)), [this, i] { reconnect(i); });
    }
  }

  /// Leaves the fleet without a leader; requests are lost until newLeader().
  void endLeader() { leaderless_ = true; }

  /// Stops the leader from processing messages. Its lease ends, unless it thaws before.
  void freezeLeader() {
    frozen_ = true;
    leaseUntil_ = queue_.now() + kLease;
  }

  void thawLeader() {
    frozen_ = false;
    const auto held = std::exchange(heldMessages_, {});
    for (const auto& process : held) process();
    if (queue_.now() < leaseUntil_) leaseUntil_ = base::TimePoint::max();
  }

  /// Cuts the link between a relay and the leader, or restores it; the relay asks again then.
  void setCut(int relay, bool cut) {
    const bool restored = cut_[relay] && !cut;
    cut_[relay] = cut;
    if (restored) reconnect(relay);
  }

  void setLimit(const std::string& tenant, const quota_limit& limit) { options_.limits[tenant] = limit; }

  /// Sets how long requests can wait for a permit.
  void setPermitWait(base::Duration wait) { permitWait_ = wait; }

  /// Makes each message between relays and the leader arrive twice.
  void repeatMessages() { copies_ = 2; }

  void runFor(base::Duration duration) {
    const auto until = queue_.now() + duration;
    while (queue_.runNext(until)) {
    }
  }

  /// @return the maximum number of permits granted within any window of the given length
  size_t maxGrantedWithin(base::Duration span, const std::string& tenant = "tenant") {
    const auto& granted = outcomes_[tenant].granted;
    size_t most = 0;
    for (auto first = granted.begin(); first != granted.end(); ++first) {
      most = std::max(most, static_cast<size_t>(std::lower_bound(first, granted.end(), *first + span) - first));
    }
    return most;
  }

  const Outcomes& of(const std::string& tenant) { return outcomes_[tenant]; }
  int64_t sent() { return of("tenant").sent; }
  int64_t granted() { return static_cast<int64_t>(of("tenant").granted.size()); }
  int64_t denied() { return of("tenant").denied; }
  int64_t unanswered() { return of("tenant").unanswered; }
  int64_t deferred() { return deferredBefore_ + grantor_->counters().deferred; }
  int64_t messagesToLeader() const { return messagesToLeader_; }
  int64_t messagesToRelays() const { return messagesToRelays_; }
  base::TimePoint now() const { return queue_.now(); }

 private:
  base::Duration gap(double perSecond) {
    return random_.duration(base::microsecondsOf(2e6 / perSecond)) + base::microseconds(1);
  }

  void addDeferred() {
    if (grantor_) deferredBefore_ += grantor_->counters().deferred;
  }

  void reconnect(int relay) {
    connections_[relay] = ++lastConnection_;
    relays_[relay]->resendAll();
  }

  bool sendToLeader(int relay, const wire::QuotaAsk& request) {
    ++messagesToLeader_;
    if (cut_[relay]) return true;
    for (int i = 0; i < copies_; ++i) {
      process_.schedule(options_.oneWay, [this, relay, request, connection = connections_[relay]] {
        if (frozen_) {
          heldMessages_.push_back([this, relay, request, connection] { onAsk(relay, connection, request); });
        } else {
          onAsk(relay, connection, request);
        }
      });
    }
    return true;
  }

  void onAsk(int relay, uint64_t connection, const wire::QuotaAsk& request) {
    if (leaderless_ || queue_.now() >= leaseUntil_) return;
    const auto grant = grantor_->decide(connection, request);
    for (int i = 0; i < copies_; ++i) {
      process_.schedule(options_.oneWay, [this, relay, connection, grant] {
        if (!cut_[relay] && connections_[relay] == connection) relays_[relay]->onGrant(grant);
      });
    }
  }

  bool sendToRelay(int node, const wire::QuotaAsk& request) {
    ++messagesToRelays_;
    const int relay = node % options_.relays;
    process_.schedule(options_.oneWay, [this, node, relay, request] {
      for (const auto& demand : request.demands) {
        relays_[relay]->setDemand(
            static_cast<uint64_t>(node), demand.tenant, demand.count, base::milliseconds(demand.maxWaitMs),
            [this, node, tenant = demand.tenant](const permit_outcome& outcome) { answerNode(node, tenant, outcome); });
      }
    });
    return true;
  }

  void answerNode(int node, const std::string& tenant, const permit_outcome& outcome) {
    wire::QuotaGrant grant;
    grant.decisions.push_back(decisionOf(tenant, outcome));
    process_.schedule(options_.oneWay, [this, node, grant] { nodes_[node]->onGrant(grant); });
  }

  FleetOptions options_;
  simulation::EventQueue queue_;
  base::RandomSource random_;
  simulation::Process process_;
  std::unique_ptr<quota_grantor> grantor_;
  std::vector<bool> cut_;
  std::vector<uint64_t> connections_;  // of each relay to the leader
  std::vector<std::unique_ptr<quota_queue>> relays_;
  std::vector<std::unique_ptr<quota_queue>> nodes_;
  std::vector<std::function<void()>> heldMessages_;  // of a frozen leader
  std::map<std::string, Outcomes> outcomes_;
  base::Duration permitWait_ = base::seconds(2);
  base::TimePoint leaseUntil_ = base::TimePoint::max();
  bool leaderless_ = false;
  bool frozen_ = false;
  int copies_ = 1;
  uint64_t lastOwner_ = 0;
  uint64_t lastConnection_ = 0;
  int64_t deferredBefore_ = 0;
  int64_t messagesToLeader_ = 0;
  int64_t messagesToRelays_ = 0;
};

}  // namespace driftlug::quota
