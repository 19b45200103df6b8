/// Quota permits in a simulated fleet of nodes, relays and changing leaders, on the virtual clock.
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

#include "base/random.h"
#include "quota/quota_grantor.h"
#include "quota/quota_queue.h"
#include "simulation/event_queue.h"
#include "simulation/process.h"

namespace driftlug::quota {
namespace {

constexpr int kRelays = 3;
constexpr int kNodes = 12;
constexpr double kRatePerS = 40;
constexpr double kBurst = 20;
constexpr base::Duration kOneWay = base::milliseconds(1);
constexpr quota_queue_options kNodeTimes{base::milliseconds(5), base::milliseconds(700), base::milliseconds(250)};
constexpr quota_queue_options kRelayTimes{base::milliseconds(10), base::seconds(2), base::milliseconds(200)};

/// One tenant that sends through all nodes. Messages are delayed, and lost while the link of a relay is cut.
class Fleet {
 public:
  explicit Fleet(uint64_t seed) : random_(seed), process_(queue_, "fleet", {"zone", "region"}, {"10.0.0.1", 1}) {
    process_.start();
    newLeader();
    for (int i = 0; i < kRelays; ++i) {
      relays_.push_back(std::make_unique<quota_queue>(
          process_, kRelayTimes, [this, i](const wire::QuotaAsk& request) { return sendToLeader(i, request); }));
    }
    for (int i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<quota_queue>(
          process_, kNodeTimes, [this, i](const wire::QuotaAsk& request) { return sendToRelay(i, request); }));
    }
  }

  /// Sends requests at a mean rate for the given duration.
  void send(double perSecond, base::Duration duration) {
    const auto until = queue_.now() + duration;
    while (queue_.now() < until) {
      runFor(random_.duration(base::microsecondsOf(2e6 / perSecond)) + base::microseconds(1));
      const auto node = random_.below(kNodes);
      ++sent_;
      nodes_[node]->wait(++lastOwner_, "tenant", 1, [this](const permit_outcome& outcome) {
        for (int i = 0; i < outcome.granted; ++i) granted_.push_back(queue_.now());
        denied_ += outcome.denied;
        unanswered_ += outcome.unanswered;
      });
    }
  }

  void newLeader() {
    grantor_ = std::make_unique<quota_grantor>(process_, [](const std::string&) {
      return std::optional(quota_limit{kRatePerS, kBurst});
    });
    for (auto& relay : relays_) relay->resendAll();
  }

  void runFor(base::Duration duration) {
    const auto until = queue_.now() + duration;
    while (queue_.runNext(until)) {
    }
  }

  void setCut(int relay, bool cut) { cut_[relay] = cut; }

  /// @return the maximum number of permits granted within any window of the given length
  size_t maxGrantedWithin(base::Duration span) const {
    size_t most = 0;
    for (auto first = granted_.begin(); first != granted_.end(); ++first) {
      most = std::max(most, static_cast<size_t>(std::lower_bound(first, granted_.end(), *first + span) - first));
    }
    return most;
  }

  int64_t sent() const { return sent_; }
  int64_t granted() const { return static_cast<int64_t>(granted_.size()); }
  int64_t denied() const { return denied_; }
  int64_t unanswered() const { return unanswered_; }

 private:
  bool sendToLeader(int relay, const wire::QuotaAsk& request) {
    if (cut_[relay]) return true;
    process_.schedule(kOneWay, [this, relay, request] {
      const auto grant = grantor_->decide(request);
      process_.schedule(kOneWay, [this, relay, grant] {
        if (!cut_[relay]) relays_[relay]->onGrant(grant);
      });
    });
    return true;
  }

  bool sendToRelay(int node, const wire::QuotaAsk& request) {
    const int relay = node % kRelays;
    process_.schedule(kOneWay, [this, node, relay, request] {
      for (const auto& demand : request.demands) {
        relays_[relay]->wait(
            static_cast<uint64_t>(node), demand.tenant, demand.count,
            [this, node, tenant = demand.tenant](const permit_outcome& outcome) { answerNode(node, tenant, outcome); });
      }
    });
    return true;
  }

  void answerNode(int node, const std::string& tenant, const permit_outcome& outcome) {
    wire::QuotaDecision decision;
    decision.tenant = tenant;
    decision.granted = outcome.granted;
    decision.denied = outcome.denied;
    wire::QuotaGrant grant;
    grant.decisions.push_back(decision);
    process_.schedule(kOneWay, [this, node, grant] { nodes_[node]->onGrant(grant); });
  }

  simulation::EventQueue queue_;
  base::RandomSource random_;
  simulation::Process process_;
  std::unique_ptr<quota_grantor> grantor_;
  std::vector<std::unique_ptr<quota_queue>> relays_;
  std::vector<std::unique_ptr<quota_queue>> nodes_;
  bool cut_[kRelays] = {};
  uint64_t lastOwner_ = 0;
  int64_t sent_ = 0;
  std::vector<base::TimePoint> granted_;
  int64_t denied_ = 0;
  int64_t unanswered_ = 0;
};

constexpr base::Duration kSpan = base::seconds(5);
const auto kMostInSpan = static_cast<size_t>(kRatePerS * 5 + kBurst);

}  // namespace

TEST_CASE("requests below the limit are granted") {
  Fleet fleet(1);
  fleet.runFor(base::seconds(1));
  fleet.send(0.6 * kRatePerS, base::seconds(20));
  fleet.runFor(base::seconds(2));
  CHECK(fleet.granted() == fleet.sent());
}

TEST_CASE("beyond the limit the rate is granted, the rest is denied at once, and no span holds more than the limit") {
  Fleet fleet(2);
  fleet.runFor(base::seconds(1));
  fleet.send(10 * kRatePerS, base::seconds(20));
  fleet.runFor(base::seconds(2));
  CHECK(fleet.maxGrantedWithin(kSpan) <= kMostInSpan);
  CHECK(fleet.granted() >= static_cast<int64_t>(0.95 * kRatePerS * 20));
  CHECK(fleet.unanswered() == 0);
  CHECK(fleet.granted() + fleet.denied() == fleet.sent());
}

TEST_CASE("no span holds more than the limit over changes of the leader and cuts of relays") {
  size_t most = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Fleet fleet(seed);
    base::RandomSource random(seed + 1000);
    fleet.runFor(base::seconds(1));
    for (int i = 0; i < 6; ++i) {
      fleet.send(random.below(2) == 0 ? 0.6 * kRatePerS : 5 * kRatePerS, base::milliseconds(1500));
      const auto relay = static_cast<int>(random.below(kRelays));
      fleet.setCut(relay, random.below(2) == 0);
      if (random.below(2) == 0) fleet.newLeader();
    }
    most = std::max(most, fleet.maxGrantedWithin(kSpan));
  }
  CHECK(most <= kMostInSpan);
}

TEST_CASE("requests without a decision are reported as unanswered in time") {
  Fleet fleet(3);
  for (int i = 0; i < kRelays; ++i) fleet.setCut(i, true);
  fleet.send(kRatePerS, base::seconds(2));
  fleet.runFor(base::seconds(2));
  CHECK(fleet.granted() == 0);
  CHECK(fleet.unanswered() == fleet.sent());
}

}  // namespace driftlug::quota
