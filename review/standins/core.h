/// The core machines of a small deployment, and an operator that calls them as the pages say.
#pragma once

#include <memory>

#include "harness.h"

namespace review {

/// Paths that a script works with.
struct Paths {
  std::string root;    // of the repository
  std::string folder;  // temporary, for settings, logs and data
  /// @return an IP number of a machine, on the loopback range; differs between scripts that run at the same time
  std::string ip(int machine) const {
    const int id = ::getpid();
    return "127." + std::to_string(16 + id % 200) + "." + std::to_string(id / 200 % 250) + "." +
           std::to_string(machine);
  }
};

/// Controllers, one on each core machine. A process that ends by itself is started again after a short delay.
class Core {
 public:
  Core(const Paths& paths, int machines, Record& record) : record_(record) {
    std::vector<std::string> ips;
    for (int i = 0; i < machines; ++i) ips.push_back(paths.ip(10 + i));
    const int control = freePort(ips);
    const int first = freePort(ips);
    const int last = freePort(ips);
    relayPort_ = last;
    for (int i = 0; i < 3; ++i) seeds_ += (i > 0 ? "," : "") + ips[i] + ":" + std::to_string(control);
    const auto role = readRole(paths.root, "controller");
    const char* zones[] = {"hall-a", "hall-b", "hall-c"};
    for (int i = 0; i < machines; ++i) {
      const auto id = "core-" + std::to_string(i + 1);
      auto fields = commonFields(id, ips[i], zones[i % 3], seeds_);
      fields["portRange.0"] = std::to_string(first);
      fields["portRange.1"] = std::to_string(last);
      fields["listen.control"] = ips[i] + ":" + std::to_string(control);
      fields["dataDir"] = paths.folder + "/" + id;
      addresses_.push_back({ips[i], control});
      processes_.push_back(std::make_unique<Process>(paths.root, paths.folder, role, fields));
      ends_.push_back(0);
    }
  }

  bool start() {
    bool good = true;
    for (auto& process : processes_) {
      good = process->start() && good;
      process->fields()["firstStart"] = "false";
    }
    startedAt_ = nowMs();
    return good;
  }

  /// Notes processes that ended by themselves and starts them again. To be called often.
  void watch() {
    constexpr long kRestartDelayMs = 500;
    for (size_t i = 0; i < processes_.size(); ++i) {
      auto& process = *processes_[i];
      if (process.hasEnded()) {
        ++ends_[i];
        record_.line("core-%zu ended by itself, %s, for the %d. time", i + 1, process.lastEnd().c_str(), ends_[i]);
        restartAt_[i] = nowMs() + kRestartDelayMs;
      }
      const auto due = restartAt_.find(i);
      if (due == restartAt_.end() || due->second > nowMs()) continue;
      restartAt_.erase(due);
      process.start();
    }
  }

  Process& process(size_t i) { return *processes_[i]; }
  const std::vector<Address>& addresses() const { return addresses_; }
  const std::vector<int>& ends() const { return ends_; }
  const std::string& seeds() const { return seeds_; }
  int relayPort() const { return relayPort_; }

 private:
  Record& record_;
  std::string seeds_;
  int relayPort_ = 0;
  std::vector<Address> addresses_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<int> ends_;
  std::map<size_t, long> restartAt_;
  long startedAt_ = 0;
};

/// Sends orders as the pages say: follows 307 twice, moves to another machine after a failure, a 5xx, a 408 or 429, or
/// silence, with a growing pause; ends at once on 400, 409, 412, 413 and 422.
class Operator {
 public:
  /// @param watches whether this operator's thread also looks after the processes of the core
  Operator(Core& core, Record& record, bool watches = true) : core_(core), record_(record), watches_(watches) {}

  /// Loses acknowledgements on their way until a time, as `ack_lost` does.
  void loseAcksUntil(long timeMs) { loseAcksUntil_ = timeMs; }
  /// @return how many acknowledgements the platform has lost on their way
  int lostAcks() const { return lostAcks_; }
  /// Ends an order early, as seen from outside.
  void stopWhen(std::function<bool()> condition) { stop_ = std::move(condition); }

  /// @return the last answer; status 0 if none came until the time
  Reply order(const std::string& name, const std::string& method, const std::string& path, const std::string& body,
              long untilMs) {
    Reply reply;
    constexpr long kPauseGrowsByMs = 50;
    long pauseMs = kPauseGrowsByMs;
    int others = 0;  // other 4xx
    for (int tries = 1; nowMs() < untilMs && !(stop_ && stop_()); ++tries) {
      if (watches_) core_.watch();
      auto address = core_.addresses()[next_ % core_.addresses().size()];
      // One second of silence, longer for large bodies.
      const long silenceMs = 1000 + static_cast<long>(body.size() / 1000);
      const long sentAt = nowMs();
      for (int redirects = 0;; ++redirects) {
        reply = call(address, method, path, {"Content-Type: application/json"}, body, silenceMs);
        const auto location = reply.message.header("location");
        if (reply.status != 307 || redirects == 2 || location.rfind("http://", 0) != 0) break;
        const auto slash = location.find('/', 7);
        const auto colon = location.find(':', 7);
        address = {location.substr(7, colon - 7), std::atoi(location.substr(colon + 1, slash - colon - 1).c_str())};
      }
      if (reply.status == 200 && nowMs() < loseAcksUntil_) {
        ++lostAcks_;
        record_.line("platform: the acknowledgement (200) of order %s from %s is lost on its way", name.c_str(),
                     address.text().c_str());
        reply = Reply();
        sleepUntil(sentAt + silenceMs);
      }
      if (reply.status != 0 && reply.status != 503 && reply.status != 307) {
        record_.line("order %s: %s %s at %s, %zu bytes -> %d %.120s", name.c_str(), method.c_str(), path.c_str(),
                     address.text().c_str(), body.size(), reply.status, method == "GET" ? "" : reply.message.body.c_str());
      } else if (tries <= 3 || tries % 10 == 0) {
        record_.line("order %s: %s %s at %s, %zu bytes -> %s, try %d", name.c_str(), method.c_str(), path.c_str(),
                     address.text().c_str(), body.size(),
                     reply.status == 0 ? "no answer" : std::to_string(reply.status).c_str(), tries);
      }
      const int status = reply.status;
      if (status >= 200 && status < 300) return reply;
      if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422) return reply;
      if (status >= 400 && status < 500 && status != 408 && status != 429 && ++others == 3) return reply;
      ++next_;
      for (const long until = nowMs() + pauseMs; nowMs() < until;) {
        if (watches_) core_.watch();
        sleepMs(10);
      }
      pauseMs += kPauseGrowsByMs;
    }
    return reply;
  }

 private:
  Core& core_;
  Record& record_;
  bool watches_;
  long loseAcksUntil_ = 0;
  int lostAcks_ = 0;
  std::function<bool()> stop_;
  size_t next_ = 0;
};

/// Writes configurations as PROTOCOL.md shows them.
class ConfigText {
 public:
  ConfigText(unsigned version, unsigned base) {
    char text[96];
    std::snprintf(text, sizeof(text), "{\"version\":\"%08x\",\"baseVersion\":\"%08x\",\"resources\":[", version, base);
    text_ = text;
  }

  /// @param services one for `service`, several for a `trafficSplit` in equal parts that sum to 100
  void route(const std::string& name, const std::string& host, const std::string& prefix, const std::string& type,
             const std::vector<std::string>& services, int timeoutMs = 800, int targetMs = 400) {
    std::string target = "\"service\":\"" + services[0] + "\"";
    if (services.size() > 1) {
      target = "\"trafficSplit\":[";
      for (size_t i = 0; i < services.size(); ++i) {
        target += (i > 0 ? ",{" : "{") + std::string("\"service\":\"") + services[i] +
                  "\",\"weight\":" + std::to_string(100 / services.size()) + "}";
      }
      target += "]";
    }
    add("{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"" + name + "\"},\"spec\":{\"host\":\"" + host +
        "\",\"pathPrefix\":\"" + prefix + "\",\"routeType\":\"" + type + "\",\"timeoutMs\":" +
        std::to_string(timeoutMs) + ",\"targetLatencyMs\":" + std::to_string(targetMs) + ",\"priority\":1," + target + ",\"retryAttempts\":2}}");
  }

  void service(const std::string& name) {
    add("{\"resourceType\":\"services\",\"metadata\":{\"name\":\"" + name +
        "\"},\"spec\":{\"healthPath\":\"/healthz\",\"maxConnections\":120,\"protocol\":\"h1\",\"tls\":false}}");
  }

  std::string text() {
    add("{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    return text_ + "]}";
  }

 private:
  void add(const std::string& resource) {
    text_ += (first_ ? "" : ",") + resource;
    first_ = false;
  }

  std::string text_;
  bool first_ = true;
};

}  // namespace review
