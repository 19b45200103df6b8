// Case 6: a single request with a body within `maxBodyBytes` takes the node beside its upstream over `memoryMb`. The
// platform kills such a process; the unsafe requests that it was carrying are lost.
#include "../standins-2/world.h"

using namespace world;

namespace {

constexpr long kMemoryMb = 220;  // of a sidecar machine

/// An upstream that follows the pages; each request takes `workMs`.
struct Upstream {
  std::string id, service, ip, zone;
  int port = 0, controlPort = 0, workMs = 0;
  std::atomic<int> sequence{0};
  std::unique_ptr<Server> server;

  void listen() {
    server = std::make_unique<Server>(ip, port, [this](const Message& request, Connection&) -> std::string {
      if (request.target == "/healthz") return answerText(200, "X-Driftlug-Instance-Id: " + id + "\r\n", "");
      const auto attempt = request.header("x-driftlug-attempt-id");
      const auto expected = request.header("x-driftlug-expected-instance");
      if (attempt.empty()) return answerText(400, "X-Driftlug-Not-Executed: 1\r\n", "");
      if (!expected.empty() && expected != id) return answerText(421, "X-Driftlug-Instance-Id: " + id + "\r\n", "");
      note("%s runs %s, %zu bytes", id.c_str(), attempt.c_str(), request.body.size());
      sleepMs(workMs);
      return answerText(200, "X-Driftlug-Attempt-Id: " + attempt + "\r\nX-Driftlug-Server-Stamp: " + id + ".1\r\n",
                        "done " + attempt);
    });
  }

  void beat() {
    const std::string body = R"({"address":")" + ip + ":" + std::to_string(port) + R"(","info":{"service":")" +
                             service + R"(","version":"v1","zone":")" + zone +
                             R"(","slots":9},"status":{"state":"ready","sequence":)" + std::to_string(++sequence) +
                             R"(,"coldRemainingMs":0}})";
    call(ip, controlPort, "PUT", "/instances/" + id, "Content-Type: application/json\r\n", body, 1);
  }
};

/// @return the most memory that a process had so far without the pages of its program and libraries, in bytes; 0 if it
/// is gone
long peakMemory(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  long peak = 0;
  long files = 0;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) == 0) peak = atol(line.c_str() + 6) * 1024;
    if (line.rfind("RssFile:", 0) == 0) files = atol(line.c_str() + 8) * 1024;
  }
  return peak - files;
}

/// The platform's part: kills a sidecar process that is over memoryMb, and starts it again a second later.
struct Platform {
  explicit Platform(Deployment& deploymentOf) : deployment(deploymentOf) {}
  Deployment& deployment;
  std::map<std::string, int> kills;
  std::map<std::string, double> startAt;

  /// Called often by the main thread, which starts all processes.
  void watch() {
    for (auto& machine : deployment.sidecars) {
      if (machine->pid > 0 && !deployment.running(machine.get())) verdict(2, machine->id + " ended");
      if (machine->pid > 0) {
        const long peak = peakMemory(machine->pid);
        if (peak <= kMemoryMb * 1024 * 1024) continue;
        ++kills[machine->id];
        note("%s has %ld MiB, over memoryMb = %ld: the platform kills it, time %d", machine->id.c_str(),
             peak / 1024 / 1024, kMemoryMb, kills[machine->id]);
        deployment.kill(machine.get());
        startAt[machine->id] = now() + 1;
      } else if (now() >= startAt[machine->id]) {
        deployment.start(machine.get(), false);
      }
    }
  }

  void watchFor(
      double seconds, const std::function<bool()>& done = [] { return false; }) {
    const double until = now() + seconds;
    while (now() < until && !done()) {
      watch();
      sleepMs(5);
    }
  }
};

std::string attemptId(int number) {
  char text[32];
  snprintf(text, sizeof text, "%016x", 0xabc000 + number);
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const bool trouble = begin(argv[2]);
  auto& deployment = *new Deployment(argv[1], 3, {"orderdesk", "catalogue", "tileserve"});
  deployment.bounds["budgetSlack"] = "60";
  std::vector<std::string> ips;
  for (auto& machine : deployment.core) ips.push_back(machine->ip);
  const auto& ports = deployment.ports;
  for (auto* machine : deployment.all()) deployment.start(machine, true);

  auto& upstreams = *new std::vector<std::unique_ptr<Upstream>>;
  for (auto& machine : deployment.sidecars) {
    upstreams.push_back(std::make_unique<Upstream>());
    auto& upstream = *upstreams.back();
    upstream.id = "i-" + machine->id;
    upstream.service = machine->service;
    upstream.ip = machine->ip;
    upstream.zone = machine->zone;
    upstream.port = ports.app;
    upstream.controlPort = ports.control;
    upstream.workMs = 250;
    upstream.listen();
    if (!upstream.server->ok()) verdict(2, "an upstream can't listen");
  }
  const std::vector<Route> routes = {{"r-orders", "a.example", "/orders/", "unsafe", "orderdesk", 10000, 5000, 1, 1},
                                     {"r-sheets", "a.example", "/sheets/", "unsafe", "catalogue", 10000, 5000, 1, 1}};
  const auto taken =
      orderUntilTaken(ips, ports.control, "PUT", "/config",
                      configText(1, 0, routes, {{"orderdesk", 120}, {"catalogue", 120}, {"tileserve", 120}}), 20,
                      "configuration 1, maxBodyBytes 67108864");
  if (taken.status != 200) verdict(2, "the configuration was not taken");
  std::thread([&upstreams] {
    for (;;) {
      for (auto& upstream : upstreams) upstream->beat();
      sleepMs(1500);
    }
  }).detach();

  Platform platform(deployment);
  const std::string entry = deployment.sidecars[2]->ip;
  const std::vector<std::string> paths = {"/orders/", "/sheets/"};
  std::atomic<int> number{0}, open{0}, lost{0};
  const auto send = [&](const std::string& path, size_t bytes, bool counts) {
    ++open;
    std::thread([&, path, bytes, counts] {
      const auto id = attemptId(++number);
      note("client sends POST %s %s, %zu bytes", path.c_str(), id.c_str(), bytes);
      const auto answer =
          call(entry, ports.outbound, "POST", path + "1",
               "Host: a.example\r\nX-Driftlug-Attempt-Id: " + id + "\r\nX-Driftlug-Deadline-Ms: 10000\r\n",
               std::string(bytes, 'x'), 15);
      note("client gets %d for %s", answer.status, id.c_str());
      if (counts && answer.status != 200) ++lost;
      --open;
    }).detach();
  };
  /// Waits until a small request to a path is answered with success.
  const auto waitForService = [&](const std::string& path) {
    for (int i = 0; i < 60; ++i) {
      const auto answer = call(
          entry, ports.outbound, "POST", path + "probe",
          "Host: a.example\r\nX-Driftlug-Attempt-Id: " + attemptId(++number) + "\r\nX-Driftlug-Deadline-Ms: 2000\r\n",
          "x", 3);
      if (answer.status == 200) return;
      platform.watchFor(0.25);
    }
    verdict(2, "no request to " + path + " is served");
  };
  const size_t bytes = trouble ? 60 * 1000 * 1000 : 7200;
  for (int round = 0; round < 3; ++round) {
    for (const auto& path : paths) {
      platform.watchFor(2);
      waitForService(path);
      // One client sends a large body; another one, small unsafe requests to the same upstream.
      send(path, bytes, false);
      for (int i = 0; i < 16; ++i) {
        send(path, 2000, true);
        platform.watchFor(0.1);
      }
      platform.watchFor(20, [&] { return open == 0; });
    }
  }
  platform.watchFor(2);
  int machines = 0;
  std::string counts;
  for (const auto& [id, times] : platform.kills) {
    machines += times >= 3 ? 1 : 0;
    counts += id + " " + std::to_string(times) + " times, ";
  }
  note("%d small unsafe requests of other clients got no success", lost.load());
  if (machines >= 2) {
    verdict(1, counts + "went over memoryMb and was killed; " + std::to_string(lost.load()) +
                   " small unsafe requests of other clients got no success");
  }
  if (!platform.kills.empty()) verdict(0, "fewer than two machines went over memoryMb three times: " + counts);
  verdict(0, "no process went over memoryMb");
}
