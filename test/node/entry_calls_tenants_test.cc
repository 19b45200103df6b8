/// Tenant keys and zone evacuation on the entry side.
#include "entry_calls_fixture.h"

namespace driftlug::node {
namespace {

constexpr char kKey[] = "key-of-press";
constexpr char kTenantHeader[] = "x-tenant";

wire::Row tenantRow(const std::string& name, const std::string& key, std::optional<int> priority) {
  wire::Row row;
  row.key = table::makeKey(wire::RowKind::TENANT, name);
  row.__isset.tenantRow = true;
  row.tenantRow.keys = {key};
  if (priority) row.tenantRow.__set_priority(*priority);
  return row;
}

struct Fixture : EntryCallsFixture {
  Fixture() { useTenants({tenantRow("press", kKey, 7)}); }

  void useTenants(const std::vector<wire::Row>& tenants) {
    table::Table rows;
    rows.put(table::storeRow(routeRow("safe", "/safe/", true)));
    auto open = routeRow("open", "/open/", true);
    open.routeRow.__set_keyless(true);
    rows.put(table::storeRow(open));
    for (const auto& tenant : tenants) rows.put(table::storeRow(tenant));
    entry->useTable(std::make_shared<routing::RoutingTable>(rows, ++revision));
  }

  void callWith(const std::string& path, const std::string& key) {
    InboundCall inbound;
    inbound.method = "GET";
    inbound.host = "shop.example";
    inbound.path = path;
    inbound.credential = key;
    entry->begin(inbound, [this](CallAnswer got) { answers.push_back(std::move(got)); });
    runFor(base::milliseconds(1));
  }

  int64_t revision = 1;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a call with the key of a tenant goes on, with the tenant's priority and without the key") {
  callWith("/safe/1", kKey);
  const auto& request = std::get<wire::CallRequest>(lastRequest().message);
  CHECK(request.priority == 7);
  for (const auto& header : request.headers) CHECK(header.value != kKey);
  CHECK(request.tenant == "press");
}

TEST_CASE_METHOD(Fixture, "a call with no key or an unknown one is refused with 401 at once") {
  callWith("/safe/1", "");
  callWith("/safe/1", "another key");
  REQUIRE(answers.size() == 2);
  for (const auto& answer : answers) {
    CHECK(answer.httpStatus == 401);
    CHECK(answer.error == ErrorCode::kUnknownKey);
  }
  CHECK(network.all<wire::CallRequest>().empty());
  CHECK(entry->counters().unknownKeys == 2);
}

TEST_CASE_METHOD(Fixture, "routes that require no key accept calls without one") {
  callWith("/open/1", "");
  CHECK(network.all<wire::CallRequest>().size() == 1);
}

TEST_CASE_METHOD(Fixture, "a revoked key is refused once a table without it is in force") {
  callWith("/safe/1", kKey);
  useTenants({tenantRow("press", "new key", 7)});
  callWith("/safe/1", kKey);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].httpStatus == 401);
  callWith("/safe/1", "new key");
  CHECK(network.all<wire::CallRequest>().size() == 2);
}

TEST_CASE_METHOD(Fixture, "no key is required while the table has no tenants") {
  useTenants({});
  callWith("/safe/1", "");
  CHECK(network.all<wire::CallRequest>().size() == 1);
}

namespace {

wire::Row limitedTenantRow() {
  auto row = tenantRow("press", kKey, 7);
  row.tenantRow.__set_ratePerS(10);
  row.tenantRow.__set_burst(10);
  return row;
}

/// Calls of a tenant with a limit, whose permits come from the test.
struct QuotaFixture : Fixture {
  QuotaFixture() {
    useTenants({limitedTenantRow()});
    entry->useQuotas(&quotas);
  }

  void answer(int granted, int denied) {
    wire::QuotaDecision decision;
    decision.tenant = "press";
    decision.granted = granted;
    decision.denied = denied;
    decision.retryAfterMs = 120;
    decision.retryAfterStepMs = 100;
    wire::QuotaGrant grant;
    grant.decisions = {decision};
    quotas.onGrant(grant);
  }

  std::vector<wire::QuotaAsk> requests;
  quota::quota_queue quotas{process,
                            {base::milliseconds(5), base::milliseconds(700), base::milliseconds(250)},
                            [this](const wire::QuotaAsk& request) {
                              requests.push_back(request);
                              return true;
                            }};
};

}  // namespace

// Guards against calls that are refused while a permit can still be of use, and against permits that come too late.
TEST_CASE_METHOD(QuotaFixture, "a call waits for its permit as long as it has time to run afterwards") {
  callWith("/safe/1", kKey);
  runFor(base::milliseconds(10));
  REQUIRE(requests.size() == 1);
  const auto wait = base::milliseconds(requests[0].demands.front().maxWaitMs);
  CHECK(wait > base::milliseconds(700));
  runFor(wait - base::milliseconds(20));
  CHECK(answers.empty());
  answer(1, 0);
  CHECK(network.all<wire::CallRequest>().size() == 1);
  callWith("/safe/2", kKey);
  runFor(wait + base::milliseconds(10));
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].error == ErrorCode::kDeadlineExceeded);  // the first call; no back end answers here
  CHECK(answers[1].httpStatus == 503);
  CHECK(answers[1].error == ErrorCode::kQuotaUnavailable);
  CHECK(answers[1].outcome == wire::CallOutcome::NOT_RUN);
}

// Guards against refused callers that return together.
TEST_CASE_METHOD(QuotaFixture, "calls over the limit are told the times of the decision, each its own") {
  for (int i = 0; i < 3; ++i) callWith("/safe/1", kKey);
  runFor(base::milliseconds(300));  // the calls after the first are in the repeated demand
  answer(0, 3);
  REQUIRE(answers.size() == 3);
  for (int i = 0; i < 3; ++i) {
    CHECK(answers[i].httpStatus == 429);
    CHECK(answers[i].retryAfterMs == 120 + i * 100);
  }
}

TEST_CASE_METHOD(Fixture, "back ends of an evacuated zone get no calls until the evacuation ends") {
  const auto useZone = [&](bool evacuated) {
    table::Table rows;
    rows.put(table::storeRow(routeRow("safe", "/safe/", true)));
    wire::Row zone;
    zone.key = table::makeKey(wire::RowKind::EVACUATION, "zone-1");
    zone.__isset.evacuationRow = true;
    if (evacuated) rows.put(table::storeRow(zone));
    entry->useTable(std::make_shared<routing::RoutingTable>(rows, ++revision));
    openAll();
  };
  useZone(true);
  for (int i = 0; i < 4; ++i) call("/safe/1");
  CHECK(requestedEndpoints() == std::vector<std::string>(4, "far"));
  useZone(false);
  call("/safe/1");
  CHECK(requestedEndpoints().back() == "near");
}

}  // namespace driftlug::node
