
#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "platform_messages.h"
#include "table/validator.h"
#include "whole_config.h"

namespace driftlug::platform {
namespace {

using test::configBody;
using test::routeResource;
using test::serviceResource;

}  // namespace

TEST_CASE("a configuration is converted to rows and written back as it was sent") {
  const auto body = configBody(7, 5,
                               {routeResource("r-1", "a.example", "/p/", "safe", "s-1"), test::splitResource("r-2"),
                                serviceResource("s-1"), serviceResource("s-2"), test::limitsResource()});
  const auto document = parseConfig(body);
  REQUIRE(document.ok());
  CHECK(document->version.number == 7);
  CHECK(document->baseNumber == 5);
  table::Table rows;
  for (const auto& change : changesFor(*document, rows)) rows.put(table::storeRow(change.row));
  CHECK(configVersionOf(rows).number == 7);
  auto sent = nlohmann::json::parse(body);
  auto read = nlohmann::json::parse(renderConfig(rows));
  CHECK(read["version"] == "00000007");
  const auto byText = [](nlohmann::json list) {
    std::sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.dump() < b.dump(); });
    return list;
  };
  CHECK(byText(read["resources"]) == byText(sent["resources"]));
}

TEST_CASE("an upload route is not repeatable and is written back as it was sent") {
  const auto document = parseConfig(
      configBody(1, 0, {routeResource("r-1", "a.example", "/p/", "upload", "s-1"), serviceResource("s-1")}));
  REQUIRE(document.ok());
  table::Table rows;
  for (const auto& change : changesFor(*document, rows)) rows.put(table::storeRow(change.row));
  const auto route = rows.find(table::makeKey(wire::RowKind::ROUTE, "r-1"));
  REQUIRE(route);
  CHECK_FALSE(route->routeRow.repeatable);
  CHECK(route->routeRow.largeBodies);
  const auto read = nlohmann::json::parse(renderConfig(rows));
  CHECK(read["resources"][1]["spec"]["routeType"] == "upload");
}

TEST_CASE("a diff contains the changed rows and the version row only") {
  table::Table rows;
  const auto first =
      parseConfig(configBody(1, 0,
                             {routeResource("r-1", "a.example", "/p/", "safe", "s-1"),
                              routeResource("r-2", "a.example", "/q/", "safe", "s-1"), serviceResource("s-1")}));
  REQUIRE(first.ok());
  int64_t revision = 1;
  for (auto change : changesFor(*first, rows)) {
    change.row.revision = revision;
    rows.put(table::storeRow(change.row));
  }
  const auto second = parseConfig(
      configBody(2, 1, {routeResource("r-1", "a.example", "/p/", "unsafe", "s-1"), serviceResource("s-1")}));
  REQUIRE(second.ok());
  const auto changes = changesFor(*second, rows);
  REQUIRE(changes.size() == 3);
  CHECK(changes[0].row.key.kind == wire::RowKind::NOTE);
  CHECK(changes[0].expectedRevision == 1);
  CHECK(changes[1].row.key.name == "r-1");
  CHECK(changes[2].row.key.name == "r-2");
  CHECK(changes[2].row.deleted);
}

TEST_CASE("incomplete or invalid configurations are refused with an error message") {
  const auto whole =
      configBody(7, 5, {routeResource("r-1", "a.example", "/p/", "safe", "s-1"), serviceResource("s-1")});
  const auto bad = GENERATE_COPY(
      whole.substr(0, whole.size() / 2), std::string(), std::string("[]"), std::string("{}"),
      std::string(R"({"version":"zz","baseVersion":"00000000","resources":[]})"),
      std::string(R"({"version":"00000001","baseVersion":"00000000","resources":{}})"),
      std::string(R"({"version":"00000001","baseVersion":"00000000","resources":[1]})"),
      configBody(7, 5, {routeResource("r-1", "a.example", "/p/", "odd", "s-1"), serviceResource("s-1")}),
      configBody(7, 5,
                 {{{"resourceType", "unknown"}, {"metadata", {{"name", "x"}}}, {"spec", nlohmann::json::object()}}}));
  const auto document = parseConfig(bad);
  REQUIRE(!document.ok());
  CHECK(base::errorCodeOf(document.status()) == base::ErrorCode::kBadRequestBody);
  CHECK(!base::errorText(document.status()).empty());
}

TEST_CASE("malformed JSON bodies are refused") {
  const auto good = configBody(1, 0, {routeResource("r-1", "a.example", "/p/", "safe", "s-1"), serviceResource("s-1")});
  REQUIRE(parseConfig(good).ok());
  constexpr size_t kNestingDepth = 2'000'000;
  const std::vector<std::string> bad{"",
                                     good.substr(0, good.size() - 1),
                                     good + "}",
                                     good + " x",
                                     "[" + good + "]",
                                     std::string(kNestingDepth, '['),
                                     "{\"version\":\"\xff\xfe\"}"};
  for (const auto& body : bad) CHECK_FALSE(parseConfig(body).ok());
}

}  // namespace driftlug::platform

namespace driftlug::platform {
namespace {

nlohmann::json tenantResource(const std::string& name, const nlohmann::json& spec) {
  return {{"resourceType", "tenants"}, {"metadata", {{"name", name}}}, {"spec", spec}};
}

/// @return the problems that the table validator finds in a configuration with these tenants
std::vector<table::Problem> problemsOf(const std::vector<nlohmann::json>& tenants) {
  const auto document = parseConfig(test::configBody(1, 0, tenants));
  REQUIRE(document.ok());
  table::Table rows;
  for (const auto& change : changesFor(*document, rows)) rows.put(table::storeRow(change.row));
  return table::checkTable(rows);
}

}  // namespace

TEST_CASE("tenants, downloads, keyless routes, regions and cold-start fields are written back as they were sent") {
  auto route = routeResource("r-1", "a.example", "/p/", "download", "s-1");
  route["spec"]["noAuth"] = false;
  route["spec"]["allowedRegions"] = {"east", "west"};
  auto open = routeResource("r-2", "a.example", "/q/", "safe", "s-1");
  open["spec"]["noAuth"] = true;
  auto service = serviceResource("s-1");
  service["spec"]["coldStartS"] = 3;
  service["spec"]["coldPerS"] = 7.9;
  const auto whole = tenantResource(
      "t-1",
      {{"apiKeys", {"k-1", "k-2"}}, {"priority", 1}, {"ratePerS", 700}, {"burst", 12.5}, {"allowedRegions", {"east"}}});
  const auto bare = tenantResource("t-2", {{"apiKeys", nlohmann::json::array()}});
  const std::vector<nlohmann::json> sent{route, open, service, whole, bare};
  const auto document = parseConfig(configBody(1, 0, sent));
  REQUIRE(document.ok());
  table::Table rows;
  for (const auto& change : changesFor(*document, rows)) rows.put(table::storeRow(change.row));
  CHECK(rows.find(table::makeKey(wire::RowKind::ROUTE, "r-1"))->routeRow.repeatable);
  const auto read = nlohmann::json::parse(renderConfig(rows));
  for (const auto& resource : sent) {
    const auto& list = read["resources"];
    CHECK(std::find(list.begin(), list.end(), resource) != list.end());
  }
}

TEST_CASE("malformed tenants are refused") {
  const auto tenant = [](const nlohmann::json& spec) { return tenantResource("t-1", spec); };
  CHECK(problemsOf({tenant({{"apiKeys", {"k-1"}}})}).empty());
  CHECK_FALSE(problemsOf({tenant({{"apiKeys", {"k-1", "k-1"}}})}).empty());
  CHECK_FALSE(problemsOf({tenant({{"apiKeys", {""}}})}).empty());
  CHECK_FALSE(problemsOf({tenant({{"apiKeys", {"k-1"}}, {"ratePerS", -1}})}).empty());
  CHECK_FALSE(problemsOf({tenant({{"apiKeys", {"k-1"}}, {"burst", -1}})}).empty());
  CHECK_FALSE(problemsOf({tenantResource("", {{"apiKeys", {"k-1"}}})}).empty());
  CHECK_FALSE(problemsOf({tenantResource("t-1", {{"apiKeys", {"k-1"}}}), tenantResource("t-2", {{"apiKeys", {"k-1"}}})})
                  .empty());
  CHECK_FALSE(parseConfig(configBody(1, 0, {tenant({{"apiKeys", "k-1"}})})).ok());
  CHECK_FALSE(parseConfig(configBody(1, 0, {tenant({{"apiKeys", {7}}})})).ok());
  CHECK_FALSE(parseConfig(configBody(1, 0, {tenant({{"ratePerS", "many"}})})).ok());
}

TEST_CASE("duplicate names are refused") {
  const auto route = routeResource("r-1", "a.example", "/p/", "safe", "s-1");
  const auto other = routeResource("r-1", "a.example", "/q/", "safe", "s-1");
  CHECK_FALSE(parseConfig(configBody(1, 0, {route, other, serviceResource("s-1")})).ok());
}

}  // namespace driftlug::platform
