/// Nodes, the upstreams beside them, and clients.
#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <set>

#include "core.h"

namespace review {

/// An upstream, as PROTOCOL.md describes it: works on `slots` requests at once and queues a few more, answers a health
/// check when a slot is free, answers 421 to a request that is meant for another, tells its load. This one is not among
/// those that drop a request once its connection closes.
class Upstream {
 public:
  /// Called when the upstream begins to work on a request, and for those that it turns away.
  using OnArrival = std::function<void(const HttpMessage& request, bool runs)>;

  Upstream(Address address, std::string id, std::string service, int slots, OnArrival onArrival)
      : address_(std::move(address)),
        id_(std::move(id)),
        service_(std::move(service)),
        slots_(slots),
        onArrival_(std::move(onArrival)) {}
  ~Upstream() { end(); }
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  bool start() {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = socketAddress(address_);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) return false;
    if (::listen(listener_, 256) != 0) return false;
    acceptor_ = std::thread([this] { accept(); });
    return true;
  }

  void end() {
    if (stopped_.exchange(true)) return;
    changed_.notify_all();
    if (acceptor_.joinable()) acceptor_.join();
    if (listener_ >= 0) ::close(listener_);
    while (connections_.load() > 0) sleepMs(5);
  }

  void setWorkMs(long milliseconds) { workMs_ = milliseconds; }
  void setLeaving() { leaving_ = true; }
  int running() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return running_;
  }
  const std::string& id() const { return id_; }
  const Address& address() const { return address_; }

  /// @return the body of a heartbeat
  std::string beat(int sequence, const std::string& state, const std::string& zone) const {
    return "{\"address\":\"" + address_.text() + "\",\"info\":{\"service\":\"" + service_ +
           "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + std::to_string(slots_) +
           "},\"status\":{\"state\":\"" + state + "\",\"sequence\":" + std::to_string(sequence) +
           ",\"coldRemainingMs\":0}}";
  }

 private:
  void accept() {
    while (!stopped_) {
      pollfd descriptor{listener_, POLLIN, 0};
      if (::poll(&descriptor, 1, 50) <= 0) continue;
      const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) continue;
      ++connections_;
      std::thread([this, socket] {
        serve(socket);
        --connections_;
      }).detach();
    }
  }

  void serve(int socket) {
    Stream stream(socket);
    while (!stopped_) {
      HttpMessage request;
      if (!stream.read(&request, nowMs() + 10'000)) return;
      const bool health = request.first.rfind("GET /healthz ", 0) == 0;
      std::string head;
      std::string body = health ? "" : "whole body of " + id_;
      const auto expected = request.header("x-driftlug-expected-instance");
      const auto deadlineText = request.header("x-driftlug-deadline-ms");
      const long deadline = nowMs() + (deadlineText.empty() ? 60'000 : std::atol(deadlineText.c_str()));
      bool close = leaving_;
      if (!health && !expected.empty() && expected != id_) {
        onArrival_(request, false);
        head = "421 Misdirected Request\r\nX-Driftlug-Not-Executed: 1";
        body.clear();
      } else if (!takeSlot()) {
        if (!health) onArrival_(request, false);
        return;  // it is full: one of those that reset the connection
      } else if (!health && nowMs() >= deadline) {
        onArrival_(request, false);
        head = "503 Service Unavailable\r\nX-Driftlug-Not-Executed: 1";
        body.clear();
        freeSlot();
      } else {
        if (health) {
          head = leaving_ ? "503 Service Unavailable" : "200 OK";
        } else {
          onArrival_(request, true);
          const bool inTime = nowMs() + workMs_ <= deadline;
          sleepUntil(std::min(nowMs() + workMs_, deadline));  // it stops working at the value that it is handed
          head = std::string(inTime ? "200 OK" : "504 Gateway Timeout") + "\r\nX-Driftlug-Server-Stamp: " + id_ + "." + request.header("x-driftlug-attempt-id");
        }
        freeSlot();
      }
      std::string answer = "HTTP/1.1 " + head + "\r\n";
      if (!health) answer += "X-Driftlug-Attempt-Id: " + request.header("x-driftlug-attempt-id") + "\r\n";
      answer += "X-Driftlug-Instance-Id: " + id_ + "\r\nX-Driftlug-Instance-Load: " + load() + "\r\n";
      if (close) answer += "Connection: close\r\n";
      answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      if (!stream.write(answer, nowMs() + 2000) || close) return;
    }
  }

  bool takeSlot() {
    constexpr int kQueue = 64;
    std::unique_lock<std::mutex> lock(mutex_);
    if (running_ >= slots_ && waiting_ >= kQueue) return false;
    const long turn = nextTurn_++;
    ++waiting_;
    changed_.wait(lock, [&] { return stopped_ || (running_ < slots_ && turn == servedTurn_); });
    --waiting_;
    ++servedTurn_;
    ++running_;
    changed_.notify_all();
    return true;
  }

  void freeSlot() {
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
    changed_.notify_all();
  }

  std::string load() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::to_string(running_) + "," + std::to_string(waiting_) + "," + std::to_string(slots_);
  }

  Address address_;
  std::string id_;
  std::string service_;
  int slots_;
  OnArrival onArrival_;
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> leaving_{false};
  std::atomic<long> workMs_{40};
  std::atomic<int> connections_{0};
  std::thread acceptor_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  int running_ = 0;
  int waiting_ = 0;
  long nextTurn_ = 0;
  long servedTurn_ = 0;
};

/// Addresses of one sidecar machine.
struct Sidecar {
  std::string id;
  std::string ip;
  std::string zone;
  Address app;
  Address inbound;
  Address outbound;
  Address ready;
  Address control;
};

/// Plans sidecar machines whose ports are alike.
inline std::vector<Sidecar> planSidecars(const Paths& paths, int count) {
  std::vector<std::string> ips;
  for (int i = 0; i < count; ++i) ips.push_back(paths.ip(100 + i));
  const int app = freePort(ips);
  const int inbound = freePort(ips);
  const int outbound = freePort(ips);
  const int ready = freePort(ips);
  const int control = freePort(ips);
  const char* zones[] = {"hall-a", "hall-a", "hall-b", "hall-c"};  // as the machines of tileserve stand
  std::vector<Sidecar> sidecars;
  for (int i = 0; i < count; ++i) {
    sidecars.push_back({"sidecar-" + std::to_string(i + 1), ips[i], zones[i % 4], {ips[i], app}, {ips[i], inbound},
                        {ips[i], outbound}, {ips[i], ready}, {ips[i], control}});
  }
  return sidecars;
}

/// @return the node of a sidecar machine, not started yet
inline std::unique_ptr<Process> nodeOf(const Paths& paths, const Sidecar& sidecar, const std::string& service,
                                       const Core& core) {
  auto fields = commonFields(sidecar.id, sidecar.ip, sidecar.zone, core.seeds());
  fields["portRange.1"] = std::to_string(core.relayPort());
  fields["listen.inbound"] = sidecar.inbound.text();
  fields["listen.outbound"] = sidecar.outbound.text();
  fields["listen.ready"] = sidecar.ready.text();
  fields["listen.control"] = sidecar.control.text();
  fields["appAddr"] = sidecar.app.text();
  fields["service"] = service;
  return std::make_unique<Process>(paths.root, paths.folder, readRole(paths.root, "node"), fields);
}

/// Waits until a machine says that it is ready.
inline bool waitReady(const Sidecar& sidecar, long untilMs) {
  while (nowMs() < untilMs) {
    if (call(sidecar.ready, "GET", "/readyz", {}, "", 500).status == 200) return true;
    sleepMs(50);
  }
  return false;
}

}  // namespace review
