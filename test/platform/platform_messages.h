/// Messages in the platform's format, written independently of the code under test.
#pragma once

#include <absl/strings/str_format.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace driftlug::test {

inline nlohmann::json routeResource(const std::string& name, const std::string& host, const std::string& prefix,
                                    const std::string& kind, const std::string& service) {
  return {{"resourceType", "routes"},
          {"metadata", {{"name", name}}},
          {"spec",
           {{"host", host},
            {"pathPrefix", prefix},
            {"routeType", kind},
            {"timeoutMs", 1200},
            {"targetLatencyMs", 300},
            {"priority", 2},
            {"service", service},
            {"retryAttempts", 2}}}};
}

inline nlohmann::json splitResource(const std::string& name) {
  auto resource = routeResource(name, "split.example", "/", "safe", "");
  resource["spec"].erase("service");
  resource["spec"]["trafficSplit"] =
      nlohmann::json::array({{{"service", "s-1"}, {"weight", 90}}, {{"service", "s-2"}, {"weight", 10}}});
  return resource;
}

inline nlohmann::json serviceResource(const std::string& name) {
  return {{"resourceType", "services"},
          {"metadata", {{"name", name}}},
          {"spec", {{"healthPath", "/healthz"}, {"maxConnections", 120}, {"protocol", "h1"}, {"tls", false}}}};
}

inline nlohmann::json limitsResource() {
  return {
      {"resourceType", "limits"},
      {"metadata", nlohmann::json::object()},
      {"spec",
       {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 67108864}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
}

inline std::string configBody(int version, int base, const std::vector<nlohmann::json>& resources) {
  return nlohmann::json{{"version", absl::StrFormat("%08x", version)},
                        {"baseVersion", absl::StrFormat("%08x", base)},
                        {"resources", resources}}
      .dump();
}

}  // namespace driftlug::test
