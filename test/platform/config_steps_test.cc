#include <catch2/catch.hpp>
#include <string>

#include "config_reader.h"
#include "config_writer.h"
#include "pages_fixture.h"
#include "platform_messages.h"
#include "whole_config.h"

namespace driftlug::platform {
namespace {

std::string configOf(int version, int base, int routes) {
  std::vector<nlohmann::json> resources{test::serviceResource("s-1")};
  for (int i = 0; i < routes; ++i) {
    const auto name = std::to_string(i);
    resources.push_back(test::routeResource("r-" + name, name + ".example", "/p/", "safe", "s-1"));
  }
  return test::configBody(version, base, resources);
}

}  // namespace

TEST_CASE("a configuration gives the same rows when it is parsed in steps as in one step") {
  const auto body = configOf(7, 5, 500);
  const size_t maxItems = GENERATE(1U, 7U, 100U);
  ConfigReader reader(body);
  std::vector<wire::Row> rows;
  size_t before = 0;
  while (reader.read(maxItems, [&rows](wire::Row row) { rows.push_back(std::move(row)); })) {
    CHECK(rows.size() - before <= maxItems);
    before = rows.size();
  }
  CHECK(reader.problem().empty());
  const auto whole = parseConfig(body);
  REQUIRE(whole.ok());
  CHECK(rows == whole->rows);
  CHECK(reader.version().number == 7);
  CHECK(reader.version().digest == whole->version.digest);
  CHECK(reader.baseNumber() == 5);
  CHECK(reader.keys().size() == 501);
}

TEST_CASE("members of a configuration may be in any order, but not be repeated") {
  const std::string resources = R"("resources":[])";
  const std::string version = R"("version":"00000007")";
  const std::string base = R"("baseVersion":"00000005")";
  for (const auto& body : {"{" + resources + "," + base + " , " + version + "}",
                           " { " + version + ",\n\"more\":{\"a\":[1,2]}," + resources + "," + base + "} "}) {
    const auto document = parseConfig(body);
    REQUIRE(document.ok());
    CHECK(document->version.number == 7);
    CHECK(document->baseNumber == 5);
  }
  for (const auto& body : {"{" + version + "," + version + "," + base + "," + resources + "}",
                           "{" + version + "," + base + "," + resources + "," + resources + "}",
                           "{" + version + "," + base + "," + resources + ",}",
                           "{" + version + "," + base + R"(,"resources":[,]})", "{" + version + " " + base + "}"}) {
    CHECK_FALSE(parseConfig(body).ok());
  }
}

TEST_CASE("a configuration written in steps has the state of the table when writing began") {
  table::Table table;
  const auto document = parseConfig(configOf(1, 0, 50));
  REQUIRE(document.ok());
  for (const auto& change : changesFor(*document, table)) table.put(table::storeRow(change.row, 1));
  const auto whole = renderConfig(table);
  ConfigWriter writer(table);
  REQUIRE(writer.write(10));
  wire::Row deletedRow;
  deletedRow.key = table::makeKey(wire::RowKind::ROUTE, "r-49");
  deletedRow.revision = 2;
  deletedRow.deleted = true;
  table.put(table::storeRow(deletedRow));
  while (writer.write(10)) {
  }
  CHECK(writer.text() == whole);
}

TEST_CASE_METHOD(PagesFixture, "a large configuration is parsed and written in steps that yield to the event loop") {
  constexpr int kSmall = 100;
  constexpr int kLarge = 10'000;
  constexpr uint64_t kMaxResourcesPerStep = 250;
  constexpr uint64_t kSteps = kLarge / kMaxResourcesPerStep;
  const auto eventsOf = [this](const auto& action) {
    const auto before = queue.executed();
    action();
    return queue.executed() - before;
  };
  const auto read = [this] { CHECK(sendRequest(leader(), "GET", "/config", "").status == kOk); };
  const auto small = eventsOf([this] { CHECK(putConfig(configOf(1, 0, kSmall)) == kOk); });
  const auto smallRead = eventsOf(read);
  CHECK(eventsOf([this] { CHECK(putConfig(configOf(2, 1, kLarge)) == kOk); }) >= small + kSteps);
  CHECK(eventsOf(read) >= smallRead + kSteps);
}

}  // namespace driftlug::platform
