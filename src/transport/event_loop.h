/// The event loop of a process: one libwebsockets context, with precise timers.
#pragma once

#include <libwebsockets.h>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace driftlug::transport {

/// Runs sockets and timers on the calling thread.
///
/// Timers go through a timerfd, because the poll loop of libwebsockets waits in whole milliseconds.
class EventLoop : public base::Scheduler {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  base::TimePoint now() const override;
  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override;
  void cancel(base::TimerId id) override;
  base::WallTime wallTime() const override;

  /// Runs until stop() is called.
  void run();

  /// Closes all sockets. Must come before the objects that own listeners and connections are destroyed; run()
  /// ends with it.
  void close();

  /// Ends run() after the current turn.
  void stop() { stopped_ = true; }

  /// Calls back on the loop when the process gets SIGTERM or SIGINT.
  void onTerminate(std::function<void()> callback);

  lws_context* context() const { return context_; }

  /// Creates a vhost that listens.
  /// @param role `raw-skt` or null for HTTP
  /// @return the vhost, or null when the address can't be used
  lws_vhost* listen(const std::string& name, const std::string& host, int port, const lws_protocols* protocols,
                    const char* role);

  /// Creates a vhost for outgoing connections.
  lws_vhost* createClientVhost(const std::string& name, const lws_protocols* protocols);

 private:
  struct Due {
    base::TimePoint at;
    base::TimerId id;
    auto operator<=>(const Due&) const = default;
  };

  static int onTimerFile(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length);
  void armTimer();
  void runDue();

  lws_context* context_ = nullptr;
  lws_vhost* timerVhost_ = nullptr;
  int timerFile_ = -1;
  bool stopped_ = false;
  bool running_ = false;  // inside runDue()
  base::TimerId nextId_ = 1;
  std::map<Due, std::function<void()>> due_;                   // by time, then by order of scheduling
  std::unordered_map<base::TimerId, base::TimePoint> timeOf_;  // of timers in due_
  base::TimePoint armedFor_{};
};

}  // namespace driftlug::transport
