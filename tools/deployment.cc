#include "deployment.h"

#include <toml++/toml.h>
#include <algorithm>
#include <set>

#include "base/error.h"

namespace driftlug::tools {
namespace {

using nlohmann::json;

constexpr int kTimeoutMs = 3000;
constexpr int kOtherZonesInGroup = 2;

absl::Status badSetting(const std::string& message) { return base::makeError(base::ErrorCode::kBadSetting, message); }

DeployedService readService(const toml::table& item) {
  DeployedService service;
  service.name = item["name"].value_or(std::string());
  service.path = item["path"].value_or(std::string());
  service.upstreams = item["upstreams"].value_or(service.upstreams);
  service.slots = item["slots"].value_or(service.slots);
  service.connections = item["connections"].value_or(service.connections);
  service.serviceTimeUs = item["service_time_us"].value_or(service.serviceTimeUs);
  service.filings = item["filings"].value_or(service.filings);
  return service;
}

absl::Status checkKeys(const toml::table& document, const std::set<std::string>& known, const std::string& where) {
  for (const auto& [key, value] : document) {
    if (known.count(std::string(key.str())) == 0)
      return badSetting(where + std::string(key.str()) + ": unknown setting");
  }
  return absl::OkStatus();
}

json putEdit(const std::string& kind, const std::string& name, json row) {
  return {{"kind", kind}, {"name", name}, {"expected_revision", 0}, {"row", std::move(row)}};
}

}  // namespace

absl::StatusOr<Deployment> readDeployment(const std::string& folder) {
  const auto path = folder + "/deployment.toml";
  toml::table document;
  try {
    document = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    return badSetting(path + ": " + std::string(error.description()));
  }
  const std::set<std::string> known = {
      "name",        "host",      "zones",           "zone_delay_us",    "client_delay_us",
      "controllers", "services",  "relays_per_zone", "entries_per_zone", "rate",
      "link_mbps",   "body_bytes"};
  if (auto status = checkKeys(document, known, path + ":"); !status.ok()) return status;
  Deployment deployment;
  deployment.name = document["name"].value_or(std::string());
  deployment.host = document["host"].value_or(std::string());
  deployment.zoneDelayUs = document["zone_delay_us"].value_or(0);
  deployment.clientDelayUs = document["client_delay_us"].value_or(0);
  deployment.controllers = document["controllers"].value_or(deployment.controllers);
  deployment.relaysPerZone = document["relays_per_zone"].value_or(deployment.relaysPerZone);
  deployment.entriesPerZone = document["entries_per_zone"].value_or(deployment.entriesPerZone);
  deployment.linkMbps = document["link_mbps"].value_or(deployment.linkMbps);
  deployment.bodyBytes = document["body_bytes"].value_or(deployment.bodyBytes);
  deployment.rate = document["rate"].value_or(deployment.rate);
  if (const auto* zones = document["zones"].as_array()) {
    for (const auto& zone : *zones) deployment.zones.push_back(zone.value_or(std::string()));
  }
  const std::set<std::string> serviceKeys = {"name",   "path", "upstreams", "slots", "connections", "service_time_us",
                                             "filings"};
  if (const auto* services = document["services"].as_array()) {
    for (const auto& item : *services) {
      if (!item.is_table()) return badSetting(path + ": services must be tables");
      if (auto status = checkKeys(*item.as_table(), serviceKeys, path + ":services."); !status.ok()) return status;
      deployment.services.push_back(readService(*item.as_table()));
    }
  }
  if (deployment.zones.empty() || deployment.services.empty())
    return badSetting(path + ": zones and services are needed");
  if (deployment.controllers < 1 || deployment.relaysPerZone < 1)
    return badSetting(path + ": too few controllers or relays");
  return deployment;
}

std::vector<int> releaseGroupOf(const Deployment& deployment, int zone) {
  const int zones = static_cast<int>(deployment.zones.size());
  std::vector<int> group;
  for (int i = 0; i < deployment.relaysPerZone; ++i) group.push_back(zone * deployment.relaysPerZone + i);
  for (int next = 1; next <= std::min(kOtherZonesInGroup, zones - 1); ++next) {
    const int other = (zone + next) % zones;
    group.push_back(other * deployment.relaysPerZone + next % deployment.relaysPerZone);
  }
  return group;
}

json tableEdits(const Deployment& deployment) {
  json edits = json::array();
  edits.push_back(putEdit("retry_policy", "standard", {{"max_attempts", 3}, {"budget_percent", 10}}));
  edits.push_back(putEdit("secret", "partner-key", {{"value", "initial"}}));
  for (const auto& service : deployment.services) {
    edits.push_back(
        putEdit("service", service.name, {{"retry_policy", "standard"}, {"secrets", json::array({"partner-key"})}}));
    edits.push_back(
        putEdit("limit", service.name,
                {{"service", service.name}, {"max_concurrent", service.slots}, {"max_queued", 4 * service.slots}}));
    edits.push_back(putEdit("route", service.name,
                            {{"host", deployment.host},
                             {"path_prefix", service.path},
                             {"method", ""},
                             {"shares", {{service.name, 100}}},
                             {"required_secrets", json::array({"partner-key"})},
                             {"repeatable", !service.filings},
                             {"timeout_ms", kTimeoutMs}}));
  }
  return edits;
}

}  // namespace driftlug::tools
