#include <catch2/catch.hpp>

#include <cmath>

#include "manual_time.h"
#include "retry/retry_budget.h"
#include "routing/endpoint_picker.h"
#include "routing/routing_table.h"
#include "routing/weighted_split.h"
#include "table_rows.h"

using namespace driftlug;

TEST_CASE("weights are exact at every point, not only on average") {
  routing::WeightedSplit split;
  const std::vector<routing::WeightedChoice> choices = {{"a", 70}, {"b", 25}, {"c", 5}};
  std::map<std::string, int> picked;
  for (int n = 1; n <= 1000; ++n) {
    ++picked[split.pick(choices)];
    for (const auto& choice : choices) {
      const double expected = n * static_cast<double>(choice.weight) / 100;
      CHECK(std::abs(picked[choice.name] - expected) < 2);
    }
  }
}

TEST_CASE("a weight of 0 gets nothing, also right after an edit") {
  routing::WeightedSplit split;
  for (int i = 0; i < 10; ++i) split.pick({{"a", 50}, {"b", 50}});
  for (int i = 0; i < 100; ++i) CHECK(split.pick({{"a", 100}, {"b", 0}}) == "a");
}

TEST_CASE("the longest prefix wins, then the exact method, at segment borders") {
  table::Table rows;
  rows.put(test::serviceRow("s", 1));
  rows.put(test::routeRow("all", "h", "/", {{"s", 100}}, 1));
  rows.put(test::routeRow("claims", "h", "/claims", {{"s", 100}}, 1));
  rows.put(test::routeRow("post", "h", "/claims", {{"s", 100}}, 1, "POST"));
  const routing::RoutingTable table(rows, 1);
  CHECK(table.match("h", "/claims/7", "GET")->name == "claims");
  CHECK(table.match("h", "/claims", "POST")->name == "post");
  CHECK(table.match("h", "/claimsX", "GET")->name == "all");
  CHECK(table.match("other", "/", "GET") == nullptr);
}

namespace {

std::vector<routing::EndpointTarget> fourEndpoints() {
  std::vector<routing::EndpointTarget> endpoints;
  for (int i = 0; i < 4; ++i) endpoints.push_back({"e" + std::to_string(i), "10.0.0.1", 80, "a", 100});
  return endpoints;
}

/// Sends one request per millisecond and returns the number of requests that each endpoint got.
std::map<std::string, int> serve(routing::PickPolicy policy, const std::map<std::string, int>& latencyMs,
                                 int requests) {
  test::ManualTime time;
  routing::PickerOptions options;
  options.policy = policy;
  options.slowStart = base::Duration(0);
  routing::EndpointPicker picker(options, time, base::RandomSource(3));
  const auto endpoints = fourEndpoints();
  for (const auto& endpoint : endpoints) picker.setConnected(endpoint.name, true);
  std::map<std::string, int> picked;
  std::multimap<base::TimePoint, std::pair<std::string, base::Duration>> running;
  for (int i = 0; i < requests; ++i) {
    time.advance(base::milliseconds(1));
    while (!running.empty() && running.begin()->first <= time.now()) {
      picker.onDone(running.begin()->second.first, running.begin()->second.second, false);
      running.erase(running.begin());
    }
    const auto* target = picker.pick(endpoints, "a", {});
    picker.onSent(target->name);
    ++picked[target->name];
    const base::Duration latency = base::milliseconds(latencyMs.at(target->name));
    running.emplace(time.now() + latency, std::make_pair(target->name, latency));
  }
  return picked;
}

}  // namespace

TEST_CASE("a slow endpoint gets little under least cost and its full share under round robin") {
  const std::map<std::string, int> latency = {{"e0", 50}, {"e1", 5}, {"e2", 5}, {"e3", 5}};
  CHECK(serve(routing::PickPolicy::kRoundRobin, latency, 4000)["e0"] == 1000);
  CHECK(serve(routing::PickPolicy::kLeastCost, latency, 4000)["e0"] < 200);
}

TEST_CASE("an endpoint that was slow for a while is probed again soon") {
  test::ManualTime time;
  routing::PickerOptions options;
  options.slowStart = base::Duration(0);
  routing::EndpointPicker picker(options, time, base::RandomSource(3));
  const auto endpoints = fourEndpoints();
  for (const auto& endpoint : endpoints) picker.setConnected(endpoint.name, true);
  for (const auto& endpoint : endpoints) {
    picker.onSent(endpoint.name);
    picker.onDone(endpoint.name, endpoint.name == "e0" ? base::milliseconds(3000) : base::milliseconds(5), false);
  }
  std::map<std::string, int> picked;
  for (int i = 0; i < 4000; ++i) {
    time.advance(base::milliseconds(1));
    const auto* target = picker.pick(endpoints, "a", {});
    picker.onSent(target->name);
    picker.onDone(target->name, base::milliseconds(5), false);
    ++picked[target->name];
  }
  // It is probed two seconds after its slow answer, and each fast answer lowers its cost.
  CHECK(picked["e0"] > 100);
}

TEST_CASE("failures eject an endpoint, but reports never eject more than half") {
  test::ManualTime time;
  routing::PickerOptions options;
  routing::EndpointPicker picker(options, time, base::RandomSource(3));
  const auto endpoints = fourEndpoints();
  for (const auto& endpoint : endpoints) picker.setConnected(endpoint.name, true);
  for (int i = 0; i < options.ejectAfterFailures; ++i) {
    picker.onSent("e0");
    picker.onDone("e0", base::milliseconds(1), true);
  }
  for (int i = 0; i < 200; ++i) CHECK(picker.pick(endpoints, "a", {})->name != "e0");
  for (const auto* name : {"e1", "e2", "e3"}) picker.setAvailable(name, false);
  std::set<std::string> seen;
  for (int i = 0; i < 200; ++i) seen.insert(picker.pick(endpoints, "a", {})->name);
  CHECK(seen.size() >= 3);
}

TEST_CASE("a new endpoint gets its share only gradually") {
  test::ManualTime time;
  routing::EndpointPicker picker({}, time, base::RandomSource(5));
  const auto endpoints = fourEndpoints();
  for (const auto* name : {"e0", "e1", "e2"}) picker.setConnected(name, true);
  time.advance(base::seconds(60));
  picker.setConnected("e3", true);
  int early = 0;
  for (int i = 0; i < 400; ++i) early += picker.pick(endpoints, "a", {})->name == "e3" ? 1 : 0;
  time.advance(base::seconds(60));
  int late = 0;
  for (int i = 0; i < 400; ++i) late += picker.pick(endpoints, "a", {})->name == "e3" ? 1 : 0;
  CHECK(early == 0);
  CHECK(late > 50);
}

TEST_CASE("seven hops of retries in total overload stay within the budget") {
  // Every hop makes up to three attempts; each attempt at one hop is a request at the next.
  double requests = 10'000;
  double product = 1;
  for (int hop = 0; hop < 7; ++hop) {
    retry::RetryBudget budget;
    int attempts = 0;
    for (int i = 0; i < static_cast<int>(requests); ++i) {
      budget.onRequest(1);
      ++attempts;
      for (int retry = 0; retry < 2 && budget.spend(); ++retry) ++attempts;
    }
    product *= attempts / requests;
    requests = attempts;
  }
  CHECK(product <= 1.1);
}
