/// An upstream that has left gets requests again after the node beside it was killed. See claim.txt.
#include "mesh.h"

using namespace review;

namespace {

// Figures of uma-mesh-grown and its `vehicle-record`.
constexpr long kBeatMs = 1500;     // heartbeatMs
constexpr long kDrainMs = 2000;    // drainMs
constexpr long kContactMs = 3000;  // contactMs
constexpr int kSlots = 16;
constexpr long kUsualWorkMs = 550;
constexpr long kSlowWorkMs = 5 * kUsualWorkMs;  // srv_slow, x = 5, share = 2 of 3 (0.4 on the site, up to twice that)

std::atomic<int> nextAttempt{1};
std::mutex sentMutex;
std::map<std::string, long> sentAtOf;  // by attempt id

/// Sends one request of a client and notes it.
void sendRequest(const Sidecar& sidecar, Record& record) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", nextAttempt++);
  const long sentAt = nowMs();
  {
    const std::lock_guard<std::mutex> lock(sentMutex);
    sentAtOf[id] = sentAt;
  }
  const auto reply = call(sidecar.outbound, "GET", "/lepu270/2f",
                          {"Host: jepu9.example", std::string("X-Driftlug-Attempt-Id: ") + id,
                           "X-Driftlug-Deadline-Ms: 10000"},
                          "", 10'500);
  record.line("client: %s sent at %.3f to %s -> %d", id, static_cast<double>(sentAt) / 1000, sidecar.id.c_str(),
              reply.status);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  limitTime(110);
  const Paths paths{argv[1], argv[2]};
  const bool trouble = std::string(argv[4]) != "0";
  Record record(argv[3]);
  Core core(paths, 5, record);
  if (!core.start()) return 2;

  const auto sidecars = planSidecars(paths, 3);
  std::vector<std::unique_ptr<Process>> nodes;
  for (const auto& sidecar : sidecars) {
    nodes.push_back(nodeOf(paths, sidecar, "huvo11a", core));
    if (!nodes.back()->start()) return 2;
    nodes.back()->fields()["firstStart"] = "false";
  }

  std::mutex arrivalsMutex;
  struct Arrival {
    std::string attempt;
    long at;
  };
  std::vector<Arrival> arrivals;  // requests that the upstream that leaves has run
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (size_t i = 0; i < sidecars.size(); ++i) {
    const auto id = "i-7f3a91c" + std::to_string(i);
    upstreams.push_back(std::make_unique<Upstream>(
        sidecars[i].app, id, "huvo11a", kSlots, [&, i, id](const HttpMessage& request, bool runs) {
          record.line("upstream %s: %s %s", id.c_str(), request.header("x-driftlug-attempt-id").c_str(),
                      runs ? "runs" : "turned away");
          if (i != 0 || !runs) return;
          const std::lock_guard<std::mutex> lock(arrivalsMutex);
          arrivals.push_back({request.header("x-driftlug-attempt-id"), nowMs()});
        }));
    upstreams.back()->setWorkMs(kUsualWorkMs);
    if (!upstreams.back()->start()) return 2;
  }

  // Heartbeats of each upstream to the node beside it.
  std::atomic<bool> stopped{false};
  std::atomic<bool> firstLeaves{false};
  std::atomic<int> sequenceOfFirst{0};
  const auto beat = [&](size_t i, int sequence) {
    return call(sidecars[i].control, "PUT", "/instances/" + upstreams[i]->id(), {"Content-Type: application/json"},
                upstreams[i]->beat(sequence, "ready", sidecars[i].zone), 1000)
        .status;
  };
  std::vector<std::thread> threads;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    threads.emplace_back([&, i] {
      for (int sequence = 1; !stopped && !(i == 0 && firstLeaves); ++sequence) {
        const int status = beat(i, sequence);
        record.line("heartbeat of %s, sequence %d, ready -> %d", upstreams[i]->id().c_str(), sequence, status);
        if (i == 0) sequenceOfFirst = sequence;
        for (long until = nowMs() + (status == 200 ? kBeatMs : 200);
             nowMs() < until && !stopped && !(i == 0 && firstLeaves);) {
          sleepMs(10);
        }
      }
    });
  }
  const auto finish = [&](int result) {
    stopped = true;
    for (auto& thread : threads) thread.join();
    return result;
  };

  Operator human(core, record);
  ConfigText config(1, 0);
  config.route("r-n2ctnfz", "jepu9.example", "/lepu270/", "safe", {"huvo11a"}, 10'000, 1500);
  config.service("huvo11a");
  if (human.order("version 1", "PUT", "/config", config.text(), 20'000).status != 200) return finish(2);
  for (const auto& sidecar : sidecars) {
    if (!waitReady(sidecar, nowMs() + 15'000)) return finish(2);
  }

  // Clients on the second and third machine, steadily; none on the machine of the upstream that leaves.
  std::vector<std::thread> requests;
  std::mutex requestsMutex;
  const auto inBackground = [&](const Sidecar& sidecar) {
    const std::lock_guard<std::mutex> lock(requestsMutex);
    requests.emplace_back([&] { sendRequest(sidecar, record); });
  };
  threads.emplace_back([&] {
    for (int i = 0; !stopped; ++i) {
      inBackground(sidecars[1 + i % 3 / 2]);
      sleepMs(20);
    }
  });
  const auto finishAll = [&](int result) {
    finish(result);
    for (auto& request : requests) request.join();
    return result;
  };
  sleepMs(6000);
  {
    const std::lock_guard<std::mutex> lock(arrivalsMutex);
    record.line("%zu requests have reached %s so far", arrivals.size(), upstreams[0]->id().c_str());
    if (arrivals.empty()) return finishAll(2);
  }

  // srv_slow: two of the upstreams turn slow, and so slots fill.
  upstreams[0]->setWorkMs(kSlowWorkMs);
  upstreams[1]->setWorkMs(kSlowWorkMs);
  // What began before that has ended then.
  const long slowedAt = nowMs();
  const long fullBy = slowedAt + 5000;
  while ((upstreams[0]->running() < kSlots || nowMs() < slowedAt + kUsualWorkMs + 100) && nowMs() < fullBy) {
    inBackground(sidecars[1]);
    sleepMs(5);
  }
  record.line("%s is at work on %d requests", upstreams[0]->id().c_str(), upstreams[0]->running());

  // A heartbeat leaves the upstream, and is delayed. Then the upstream signs off; it is one of those that never say
  // `draining`. It serves on for drainMs after the acknowledgement, and some seconds longer.
  firstLeaves = true;
  const int lateSequence = sequenceOfFirst + 1;
  record.line("heartbeat of %s, sequence %d, ready: on its way", upstreams[0]->id().c_str(), lateSequence);
  if (!trouble) record.line("it arrives at once -> %d", beat(0, lateSequence));
  upstreams[0]->setLeaving();
  const int left = call(sidecars[0].control, "DELETE", "/instances/" + upstreams[0]->id(), {}, "", 1000).status;
  const long leftAt = nowMs();
  record.line("DELETE of %s -> %d", upstreams[0]->id().c_str(), left);
  if (left != 200) return finishAll(2);
  long restartedAt = leftAt;
  if (trouble) {
    nodes[0]->kill();
    record.line("node_kill: the node of %s is killed", sidecars[0].id.c_str());
    sleepMs(400);
    if (!nodes[0]->start()) return finishAll(2);
    restartedAt = nowMs();
    record.line("the node of %s is started again", sidecars[0].id.c_str());
    while (call(sidecars[0].control, "GET", "/", {}, "", 200).status == 0 && nowMs() < restartedAt + 2000) sleepMs(10);
    record.line("%s is still at work on %d requests", upstreams[0]->id().c_str(), upstreams[0]->running());
    record.line("the heartbeat of %s, sequence %d, arrives %.1f s late -> %d", upstreams[0]->id().c_str(),
                lateSequence, static_cast<double>(nowMs() - leftAt) / 1000, beat(0, lateSequence));
  }
  upstreams[0]->setWorkMs(kUsualWorkMs);  // the other one stays slow for the rest, 9 s at most

  // From here on all machines are in touch: contactMs after the start of the node, with some time to spare. Only
  // requests count that a client sent after that.
  const long judgedFrom = std::max(leftAt + kDrainMs, restartedAt + kContactMs) + 300;
  sleepUntil(leftAt + 8000);
  finishAll(0);
  int late = 0;
  for (const auto& arrival : arrivals) {
    const auto sent = sentAtOf.find(arrival.attempt);
    late += sent != sentAtOf.end() && sent->second > judgedFrom ? 1 : 0;
  }
  record.line("%d requests, sent %.1f s or later after the sign-off was acknowledged, reached %s", late,
              static_cast<double>(judgedFrom - leftAt) / 1000, upstreams[0]->id().c_str());
  if (late > 0) record.line("BROKEN DRAIN: drainMs is %ld, and all machines were in touch", kDrainMs);
  return late > 0 ? 1 : 0;
}
