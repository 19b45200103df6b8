#include "tenants/tenant_directory.h"

#include <catch2/catch.hpp>

#include "wire/gen/driftlug_types.h"

namespace driftlug::tenants {
namespace {

wire::TenantRow tenantWith(std::vector<std::string> keys) {
  wire::TenantRow row;
  row.keys = std::move(keys);
  return row;
}

}  // namespace

TEST_CASE("a tenant is found by each of its keys, and by nothing else") {
  tenant_directory directory;
  directory.add("press", tenantWith({"key-one", "key-two"}));
  directory.add("shop", tenantWith({"key-three"}));
  REQUIRE(directory.find("key-two") != nullptr);
  CHECK(directory.find("key-two")->name == "press");
  CHECK(directory.find("key-three")->name == "shop");
  CHECK(directory.find("key-on") == nullptr);
  CHECK(directory.find("") == nullptr);
  CHECK(directory.findByName("press") == directory.find("key-one"));
}

TEST_CASE("a tenant without keys is listed but not found by any key") {
  tenant_directory directory;
  directory.add("press", tenantWith({}));
  CHECK_FALSE(directory.empty());
  CHECK(directory.find("key-one") == nullptr);
}

TEST_CASE("a tenant without a rate has no limit") {
  tenant_directory directory;
  auto row = tenantWith({"k"});
  row.__set_ratePerS(0);
  row.__set_burst(5);
  directory.add("free", row);
  CHECK_FALSE(directory.findByName("free")->limited());
}

}  // namespace driftlug::tenants
