#include "fleet.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "base/error.h"

namespace driftlug::tools {
namespace {

using nlohmann::json;

constexpr char kHost[] = "127.0.0.1";
constexpr char kProxyName[] = "fault-proxy";
constexpr int kReadyTimeoutMs = 20'000;
constexpr int kStopTimeoutMs = 15'000;
constexpr base::Duration kHttpTimeout = base::seconds(5);

base::Address httpAddress(const FleetMember& member) { return {kHost, member.httpPort}; }

std::string flag(const std::string& name, const std::string& value) { return "--" + name + "=" + value; }
std::string flag(const std::string& name, int value) { return flag(name, std::to_string(value)); }

}  // namespace

Fleet::Fleet(Deployment deployment, FleetOptions options)
    : deployment_(std::move(deployment)), options_(std::move(options)), processes_(options_.report) {
  std::filesystem::create_directories(options_.report);
  plan();
  // State left in the folder by an earlier run belongs to a different cluster.
  for (const auto& member : controllers_) std::filesystem::remove_all(options_.report + "/data-" + member.name);
  for (const auto& endpoint : endpoints_) {
    std::filesystem::remove(options_.report + "/" + endpoint.backendName + ".record");
  }
}

void Fleet::plan() {
  const int zones = static_cast<int>(deployment_.zones.size());
  size_t endpointCount = 0;
  for (const auto& service : deployment_.services) endpointCount += static_cast<size_t>(service.upstreams);
  const size_t members = static_cast<size_t>(deployment_.controllers) +
                         static_cast<size_t>(zones * (deployment_.relaysPerZone + deployment_.entriesPerZone));
  auto ports = findFreePorts(3 * (members + endpointCount));
  const auto nextPort = [&ports] {
    const int port = ports.back();
    ports.pop_back();
    return port;
  };
  const auto zoneOf = [&](int position) { return deployment_.zones[static_cast<size_t>(position % zones)]; };
  for (int i = 0; i < deployment_.controllers; ++i) {
    controllers_.push_back({"controller-" + std::to_string(i + 1), zoneOf(i), nextPort(), nextPort(), 0});
  }
  for (int i = 0; i < zones * deployment_.relaysPerZone; ++i) {
    relays_.push_back(
        {"relay-" + std::to_string(i + 1), zoneOf(i / deployment_.relaysPerZone), nextPort(), nextPort(), 0});
  }
  for (int i = 0; i < zones * deployment_.entriesPerZone; ++i) {
    entries_.push_back({"entry-" + std::to_string(i + 1), zoneOf(i), 0, nextPort(), nextPort()});
  }
  for (const auto& service : deployment_.services) {
    for (int i = 0; i < service.upstreams; ++i) {
      const auto name = service.name + "-" + std::to_string(i + 1);
      endpoints_.push_back({{name, zoneOf(i), nextPort(), nextPort(), 0}, service.name, nextPort(), name + "-backend"});
    }
  }
  planProxy();
}

void Fleet::planProxy() {
  std::vector<int> ports;
  if (options_.faultProxy) ports = findFreePorts(controllers_.size() + relays_.size() + 2 * endpoints_.size() + 1);
  const auto linkTo = [&](const std::string& name, int target) {
    if (ports.empty()) return target;
    const int port = ports.back();
    ports.pop_back();
    links_.push_back(name + "=" + std::to_string(port) + ":" + std::to_string(target));
    return port;
  };
  if (!ports.empty()) {
    proxyPort_ = ports.back();
    ports.pop_back();
  }
  for (auto& member : controllers_) member.dialPort = linkTo(member.name, member.framePort);
  for (auto& member : relays_) member.dialPort = linkTo(member.name, member.framePort);
  for (auto& endpoint : endpoints_) {
    endpoint.node.dialPort = linkTo(endpoint.node.name, endpoint.node.framePort);
    endpoint.backendDialPort =
        options_.backendProxy ? linkTo(endpoint.backendName, endpoint.backendPort) : endpoint.backendPort;
  }
}

bool Fleet::startProxy() {
  if (links_.empty()) return true;
  auto command = program("driftlug-fault-proxy");
  command.push_back(flag("links", absl::StrJoin(links_, ",")));
  command.push_back(flag("control-port", proxyPort_));
  command.push_back(flag("link-mbps", std::to_string(deployment_.linkMbps)));
  return processes_.start(kProxyName, command);
}

bool Fleet::setLinkFault(const std::string& link, std::string_view fault, int delayMs, int bytesPerSecond) {
  const auto path = "/fault?link=" + link + "&fault=" + std::string(fault) + "&delay_ms=" + std::to_string(delayMs) +
                    "&bytes_per_second=" + std::to_string(bytesPerSecond);
  const auto result = http_.get({kHost, proxyPort_}, path, kHttpTimeout);
  return result.outcome == transport::HttpOutcome::kCompleted && result.response.status == 200;
}

absl::Status Fleet::failed(const std::string& what) const {
  return base::makeError(base::ErrorCode::kConnectFailed,
                         what + " did not become ready; logs are in " + options_.report);
}

std::vector<std::string> Fleet::program(const std::string& name) const { return {options_.binaries + "/" + name}; }

std::string Fleet::relayAddresses(int zone) const {
  std::vector<std::string> addresses;
  for (const int position : releaseGroupOf(deployment_, zone)) {
    addresses.push_back(std::string(kHost) + ":" + std::to_string(relays_[static_cast<size_t>(position)].dialPort));
  }
  return absl::StrJoin(addresses, ",");
}

bool Fleet::startControllers() {
  std::vector<std::string> addresses;
  for (const auto& member : controllers_) {
    addresses.push_back(member.name + "@" + kHost + ":" + std::to_string(member.dialPort) + ":" +
                        std::to_string(member.httpPort));
  }
  for (const auto& member : controllers_) {
    auto command = program("driftlug-controller");
    command.push_back(flag("name", member.name));
    command.push_back(flag("zone", member.zone));
    command.push_back(flag("frame-port", member.framePort));
    command.push_back(flag("http-port", member.httpPort));
    command.push_back(flag("controllers", absl::StrJoin(addresses, ",")));
    command.push_back(flag("data-folder", options_.report + "/data-" + member.name));
    if (options_.emulateLatency) command.push_back(flag("emulated-zone-delay-us", deployment_.zoneDelayUs));
    command.insert(command.end(), options_.controllerFlags.begin(), options_.controllerFlags.end());
    if (!processes_.start(member.name, command)) return false;
  }
  return true;
}

bool Fleet::startRelays() {
  std::vector<std::string> controllerAddresses;
  for (const auto& member : controllers_) {
    controllerAddresses.push_back(std::string(kHost) + ":" + std::to_string(member.dialPort));
  }
  std::vector<std::string> groups;
  for (size_t zone = 0; zone < deployment_.zones.size(); ++zone) {
    std::vector<std::string> names;
    for (const int position : releaseGroupOf(deployment_, static_cast<int>(zone))) {
      names.push_back(relays_[static_cast<size_t>(position)].name);
    }
    groups.push_back(deployment_.zones[zone] + "=" + absl::StrJoin(names, "|"));
  }
  for (const auto& member : relays_) {
    std::vector<std::string> peers;
    for (const auto& other : relays_) {
      if (other.name != member.name) peers.push_back(std::string(kHost) + ":" + std::to_string(other.dialPort));
    }
    auto command = program("driftlug-relay");
    command.push_back(flag("name", member.name));
    command.push_back(flag("zone", member.zone));
    command.push_back(flag("frame-port", member.framePort));
    command.push_back(flag("http-port", member.httpPort));
    command.push_back(flag("controllers", absl::StrJoin(controllerAddresses, ",")));
    command.push_back(flag("peers", absl::StrJoin(peers, ",")));
    command.push_back(flag("release-groups", absl::StrJoin(groups, ",")));
    if (options_.emulateLatency) command.push_back(flag("emulated-zone-delay-us", deployment_.zoneDelayUs));
    command.insert(command.end(), options_.relayFlags.begin(), options_.relayFlags.end());
    if (!processes_.start(member.name, command)) return false;
  }
  return true;
}

bool Fleet::startEndpoints() {
  for (const auto& endpoint : endpoints_) {
    const DeployedService* service = nullptr;
    for (const auto& candidate : deployment_.services) {
      if (candidate.name == endpoint.service) service = &candidate;
    }
    auto backend = program("driftlug-backend");
    backend.push_back(flag("name", endpoint.backendName));
    backend.push_back(flag("port", endpoint.backendPort));
    backend.push_back(flag("record-file", options_.report + "/" + endpoint.backendName + ".record"));
    backend.push_back(flag("slots", service->slots));
    backend.push_back(flag("service-time-us", service->serviceTimeUs));
    backend.push_back(flag("seed", endpoint.backendPort));
    auto node = program("driftlug-node");
    node.push_back(flag("name", endpoint.node.name));
    node.push_back(flag("zone", endpoint.node.zone));
    node.push_back(flag("frame-port", endpoint.node.framePort));
    node.push_back(flag("http-port", endpoint.node.httpPort));
    node.push_back(flag("service", endpoint.service));
    node.push_back(flag("backend", std::string(kHost) + ":" + std::to_string(endpoint.backendDialPort)));
    node.push_back(flag("backend-connections", service->connections));
    node.push_back(flag("backend-slots", service->slots));
    int zone = 0;
    while (deployment_.zones[static_cast<size_t>(zone)] != endpoint.node.zone) ++zone;
    node.push_back(flag("relays", relayAddresses(zone)));
    if (options_.emulateLatency) node.push_back(flag("emulated-zone-delay-us", deployment_.zoneDelayUs));
    node.push_back(flag("link-mbps", std::to_string(deployment_.linkMbps)));
    node.insert(node.end(), options_.nodeFlags.begin(), options_.nodeFlags.end());
    backend.insert(backend.end(), options_.backendFlags.begin(), options_.backendFlags.end());
    if (!processes_.start(endpoint.backendName, backend) || !processes_.start(endpoint.node.name, node)) return false;
  }
  return true;
}

bool Fleet::startEntries() {
  const int zones = static_cast<int>(deployment_.zones.size());
  for (size_t i = 0; i < entries_.size(); ++i) {
    const auto& member = entries_[i];
    auto command = program("driftlug-node");
    command.push_back(flag("name", member.name));
    command.push_back(flag("zone", member.zone));
    command.push_back(flag("entry-port", member.entryPort));
    command.push_back(flag("http-port", member.httpPort));
    command.push_back(flag("hosts", deployment_.host));
    command.push_back(flag("relays", relayAddresses(static_cast<int>(i) % zones)));
    if (options_.emulateLatency) command.push_back(flag("emulated-zone-delay-us", deployment_.zoneDelayUs));
    command.insert(command.end(), options_.nodeFlags.begin(), options_.nodeFlags.end());
    if (!processes_.start(member.name, command)) return false;
  }
  return true;
}

bool Fleet::isReady(const FleetMember& member) {
  const auto result = http_.get(httpAddress(member), "/readyz", kHttpTimeout);
  return result.outcome == transport::HttpOutcome::kCompleted && result.response.status == 200;
}

bool Fleet::acceptsConnections(const FleetMember& member) {
  // The first attempt may reuse a pooled connection to a process that has since exited.
  constexpr int kTries = 2;
  for (int i = 0; i < kTries; ++i) {
    const auto result = http_.get({kHost, member.entryPort}, "/", kHttpTimeout);
    if (result.outcome == transport::HttpOutcome::kCompleted) return true;
  }
  return false;
}

bool Fleet::waitReady(const FleetMember& member, int timeoutMs) {
  const auto until = http_.loop().now() + base::milliseconds(timeoutMs);
  while (http_.loop().now() < until) {
    if (isReady(member)) return true;
    http_.wait(base::milliseconds(20));
  }
  return false;
}

std::string Fleet::leader() {
  for (const auto& member : controllers_) {
    if (!processes_.running(member.name)) continue;
    const auto result = http_.get(httpAddress(member), "/v1/status", kHttpTimeout);
    const auto body = json::parse(result.response.body, nullptr, false);
    if (body.is_object() && body.value("leads", false)) return member.name;
  }
  return "";
}

json Fleet::endpointEdits() const {
  json edits = json::array();
  for (const auto& endpoint : endpoints_) {
    const json row = {{"service", endpoint.service},
                      {"address", kHost},
                      {"port", endpoint.node.dialPort},
                      {"zone", endpoint.node.zone}};
    edits.push_back({{"kind", "endpoint"}, {"name", endpoint.node.name}, {"expected_revision", 0}, {"row", row}});
  }
  return edits;
}

absl::Status Fleet::start() {
  if (!startProxy()) return failed("the fault proxy");
  if (!startControllers()) return failed("a controller");
  std::vector<base::Address> addresses;
  for (const auto& member : controllers_) addresses.push_back(httpAddress(member));
  api_ = std::make_unique<apps::ControlApiClient>(http_, addresses, options_.apiTimeout);
  for (const auto& member : controllers_) {
    if (!waitReady(member, kReadyTimeoutMs)) return failed(member.name);
  }
  auto edits = tableEdits(deployment_);
  for (const auto& item : endpointEdits()) edits.push_back(item);
  const auto answer = edit(edits);
  if (answer.status != 200) {
    return base::makeError(base::ErrorCode::kInvalidEdit, "the table was not accepted: " + answer.body.dump());
  }
  if (!startRelays() || !startEndpoints() || !startEntries()) return failed("a process");
  for (const auto& member : relays_) {
    if (!waitReady(member, kReadyTimeoutMs)) return failed(member.name);
  }
  for (const auto& member : allNodes()) {
    if (!waitReady(member, kReadyTimeoutMs)) return failed(member.name);
  }
  const auto revision = answer.body.value("revision", int64_t{0});
  if (waitForConvergence(revision, http_.loop().now(), kReadyTimeoutMs) < 0) return failed("the table");
  // Connections from entries to nodes are opened right after the first activation.
  http_.wait(base::milliseconds(500));
  return absl::OkStatus();
}

std::vector<FleetMember> Fleet::allNodes() const {
  auto nodes = entries_;
  for (const auto& endpoint : endpoints_) nodes.push_back(endpoint.node);
  return nodes;
}

std::vector<FleetMember> Fleet::allMembers() const {
  auto members = allNodes();
  members.insert(members.end(), controllers_.begin(), controllers_.end());
  members.insert(members.end(), relays_.begin(), relays_.end());
  return members;
}

std::vector<std::string> Fleet::stop() {
  std::vector<std::string> stuck;
  const auto stopAll = [&](const std::vector<std::string>& names) {
    for (const auto& name : names) processes_.signal(name, SIGTERM);
    for (const auto& name : names) {
      if (processes_.waitFor(name, kStopTimeoutMs) != 0) stuck.push_back(name);
    }
  };
  std::vector<std::string> entries;
  std::vector<std::string> nodes;
  std::vector<std::string> backends;
  std::vector<std::string> relays;
  std::vector<std::string> controllers;
  for (const auto& member : entries_) entries.push_back(member.name);
  for (const auto& endpoint : endpoints_) {
    nodes.push_back(endpoint.node.name);
    backends.push_back(endpoint.backendName);
  }
  for (const auto& member : relays_) relays.push_back(member.name);
  for (const auto& member : controllers_) controllers.push_back(member.name);
  stopAll(entries);
  stopAll(nodes);
  stopAll(backends);
  stopAll(relays);
  stopAll(controllers);
  if (!links_.empty()) stopAll({kProxyName});
  return stuck;
}

void Fleet::addTrafficFlags(const LoadOptions& options, std::vector<std::string>* command) const {
  std::vector<std::string> lookups;
  std::vector<std::string> filings;
  std::vector<std::string> targets;
  for (const auto& service : deployment_.services) (service.filings ? filings : lookups).push_back(service.path);
  for (const auto& member : entries_) {
    if (!options.direct) targets.push_back(std::string(kHost) + ":" + std::to_string(member.entryPort));
  }
  for (const auto& endpoint : endpoints_) {
    if (options.direct) targets.push_back(std::string(kHost) + ":" + std::to_string(endpoint.backendPort));
  }
  command->push_back(flag("targets", absl::StrJoin(targets, ",")));
  command->push_back(flag("host", deployment_.host));
  command->push_back(flag("lookups", options.samePath.empty() ? absl::StrJoin(lookups, ",") : options.samePath));
  command->push_back(flag("filings", absl::StrJoin(filings, ",")));
  command->push_back(flag("filing-share", std::to_string(options.filingShare)));
  command->push_back(flag("duration-ms", options.durationMs));
  command->push_back(flag("seed", options.seed));
}

void Fleet::startLoad(const std::string& name, const LoadOptions& options) {
  auto command = program("driftlug-load");
  addTrafficFlags(options, &command);
  command.push_back(flag("rate", std::to_string(options.rate)));
  command.push_back(flag("record", options_.report + "/" + name + "-record.json"));
  if (!options.samePath.empty()) command.push_back(flag("query", "same"));
  if (options_.emulateLatency) command.push_back(flag("emulated-delay-us", deployment_.clientDelayUs));
  processes_.start(name, command);
}

void Fleet::startPersistentCallers(const std::string& name, const LoadOptions& options) {
  auto command = program("driftlug-soak-callers");
  addTrafficFlags(options, &command);
  command.push_back(flag("body-bytes", deployment_.bodyBytes));
  command.push_back(flag("record", options_.report + "/" + name + "-record.json"));
  command.push_back(flag("unanswered", options_.report + "/" + name + "-unanswered.json"));
  processes_.start(name, command);
}

json Fleet::unansweredRequests(const std::string& name) const {
  std::ifstream stream(options_.report + "/" + name + "-unanswered.json");
  return json::parse(stream, nullptr, false);
}

json Fleet::finishLoad(const std::string& name, int timeoutMs) {
  const int code = processes_.waitFor(name, timeoutMs);
  auto summary = json::parse(processes_.output(name), nullptr, false);
  if (code == 0 && summary.is_object()) return summary;
  return json{{"failed", true}, {"exit_code", code}};
}

apps::ApiAnswer Fleet::edit(const json& edits) { return api_->edit({{"edits", edits}, {"author", "fleet"}}); }

apps::ApiAnswer Fleet::request(const std::string& method, const std::string& path) {
  return api_->request(method, path, "");
}

double Fleet::waitForConvergence(int64_t revision, base::TimePoint since, int limitMs) {
  const auto until = http_.loop().now() + base::milliseconds(limitMs);
  while (http_.loop().now() < until) {
    const auto path = "/v1/revisions/" + std::to_string(revision) + "/convergence?wait_ms=1000";
    const auto answer = api_->request("GET", path, "");
    if (answer.status != 200 || !answer.body.value("everywhere", false)) continue;
    return std::chrono::duration<double, std::milli>(http_.loop().now() - since).count();
  }
  return -1;
}

std::map<std::string, int64_t> Fleet::runCounts() {
  std::map<std::string, int64_t> runCounts;
  for (const auto& endpoint : endpoints_) {
    const auto result = http_.get({kHost, endpoint.backendPort}, "/record", kHttpTimeout);
    const auto body = json::parse(result.response.body, nullptr, false);
    if (!body.is_object()) continue;
    for (const auto& [key, count] : body["ran"].items()) runCounts[key] += count.get<int64_t>();
  }
  return runCounts;
}

RecordCheck Fleet::checkRecords(const std::vector<std::string>& loads) {
  auto runCounts = this->runCounts();
  RecordCheck check;
  for (const auto& load : loads) {
    std::ifstream stream(options_.report + "/" + load + "-record.json");
    const auto record = json::parse(stream, nullptr, false);
    if (!record.is_object()) continue;
    for (const auto& [key, outcome] : record.items()) {
      ++check.filings;
      const auto count = runCounts.count(key) > 0 ? runCounts[key] : 0;
      if (count > 1) ++check.duplicates;
      if (outcome == "ok" && count == 0) ++check.lost;
      if (outcome == "not_run" && count > 0) ++check.falseNotRun;
    }
  }
  return check;
}

double Fleet::sumMetric(const std::vector<FleetMember>& members, const std::string& metric) {
  double sum = 0;
  const std::string prefix = "driftlug_" + metric + " ";
  for (const auto& member : members) {
    const auto result = http_.get(httpAddress(member), "/metrics", kHttpTimeout);
    for (const auto& line : absl::StrSplit(result.response.body, '\n')) {
      double value = 0;
      if (line.substr(0, prefix.size()) != prefix) continue;
      if (absl::SimpleAtod(line.substr(prefix.size()), &value)) sum += value;
    }
  }
  return sum;
}

}  // namespace driftlug::tools
