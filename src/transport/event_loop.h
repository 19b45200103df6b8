/// The event loop of a process: one libwebsockets context, with precise timers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/log.h"
#include "base/time.h"

struct lws;
struct lws_context;
struct lws_vhost;

namespace driftlug::transport {

class TcpStream;

/// What a daemon does when it is told something by a signal. Empty callbacks are not installed.
struct SignalHandlers {
  std::function<void()> terminate;  ///< SIGTERM or SIGINT: a planned stop
  std::function<void()> reload;     ///< SIGHUP: the settings have changed
};

/// Events and timers that kept the loop from all others for long.
struct LongEventStats {
  int64_t count = 0;
  base::Duration longest{0};
};

/// Runs sockets and timers on the calling thread.
///
/// Timers go through a timerfd, because the poll loop of libwebsockets waits in whole milliseconds. Bytes written to
/// streams during a turn leave together at its end.
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
  base::TimePoint inputReadUntil() const override { return inputReadUntil_; }

  /// Runs until stop() is called.
  void run();

  /// Waits for something to happen and deals with it.
  void runOnce();

  /// Closes all sockets. Must come before the objects that own listeners and connections are destroyed; run()
  /// ends with it.
  void close();

  /// Ends run() after the current turn.
  void stop() { stopped_ = true; }

  /// Calls back when the loop woke more than a second later than it was to, or stood still for two within a turn: the
  /// process was stopped, or its machine suspended. What was due meanwhile has run by then, and what waits in sockets
  /// has not been read: it is as old.
  void onStall(std::function<void(base::Duration)> handler) { onStall_ = std::move(handler); }

  /// Says what the event or timer in progress is about, for the log line of one that takes long.
  /// @param what text that lives as long as the loop
  void setEventDescription(std::string_view what) {
    updateClock();
    eventDescription_ = what;
  }

  /// @return events and timers that took 100 ms or longer.
  const LongEventStats& longEvents() const { return longEvents_; }

  /// Calls back on the loop when the process gets a signal; other signals keep their meaning, SIGPIPE is ignored.
  void onSignals(SignalHandlers handlers);

  /// Calls back whenever a descriptor can be read; the descriptor stays open until the loop closes.
  void watchFile(int file, std::function<void()> onReadable);

  /// Stops or resumes to look whether a watched descriptor can be read.
  void setWatching(int file, bool watching);

  /// Hands a socket to the loop.
  /// @param stream takes the events of the socket until it is closed
  /// @return false when the loop has closed or has no room
  bool adopt(int socket, const std::shared_ptr<TcpStream>& stream);

  /// @return sockets of streams that are open, those included that are about to be closed.
  size_t openSockets() const { return openSockets_; }

  /// Writes what a stream has buffered at the end of this turn.
  void scheduleFlush(std::weak_ptr<TcpStream> stream) { pendingFlushes_.push_back(std::move(stream)); }

 private:
  struct TimerKey {
    base::TimePoint at;
    base::TimerId id;
    auto operator<=>(const TimerKey&) const = default;
  };

  struct FileWatch {
    EventLoop* loop = nullptr;
    int file = -1;
    std::function<void()> onReadable;
    lws* wsi = nullptr;  // null when the loop had no room
  };

  /// What of the library the loop uses; kept out of this header because its names clash with those of the parser.
  struct Library;

  void armTimer();
  void updateClock();
  void recordEvent(base::Duration took);
  void notifyStall();
  void beginEvent();
  void runDueTimers();
  void flushStreams();
  void onSignalPipe();

  std::unique_ptr<Library> library_;
  lws_context* context_ = nullptr;  // null once the loop is closed
  std::vector<std::unique_ptr<FileWatch>> watches_;
  size_t openSockets_ = 0;
  int timerFile_ = -1;
  int signalPipe_ = -1;
  SignalHandlers signalHandlers_;
  bool stopped_ = false;
  base::TimerId nextId_ = 1;
  std::map<TimerKey, std::function<void()>> timers_;             // by time, then by order of scheduling
  std::unordered_map<base::TimerId, base::TimePoint> dueTimes_;  // of timers in due_
  base::TimePoint armedFor_{};
  base::TimePoint expectedWakeup_ = now();  // when the clock was to be looked at again at the latest
  bool waiting_ = false;                    // for an event or a timer
  base::TimePoint lastWakeupAt_ = now();    // when the last wait ended
  base::TimePoint inputReadUntil_ = now();
  std::string_view eventDescription_;  // what the event in progress is about; empty for a timer
  LongEventStats longEvents_;
  base::Logger log_{"loop"};
  base::Duration pendingStall_{0};                        // not told yet
  std::function<void(base::Duration)> onStall_;           // may be empty
  std::vector<std::weak_ptr<TcpStream>> pendingFlushes_;  // streams with bytes to write at the end of the turn
};

}  // namespace driftlug::transport
