/// Single-threaded event loop on one libwebsockets context, with microsecond timers.
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

/// Callbacks for the signals that a daemon handles. No handler is installed for an empty callback.
struct SignalHandlers {
  std::function<void()> terminate;  ///< on SIGTERM or SIGINT: planned stop
  std::function<void()> reload;     ///< on SIGHUP: the settings have changed
};

/// Statistics of events and timer callbacks that blocked the loop for 100 ms or longer.
struct LongEventStats {
  int64_t count = 0;
  base::Duration longest{0};
};

/// Dispatches socket events and timers on the calling thread.
///
/// Timers use a timerfd because the poll loop of libwebsockets has a resolution of one millisecond. Bytes written to
/// streams during an iteration are sent together at its end.
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

  /// Runs one iteration: waits for an event or a timer and handles what is ready.
  void runOnce();

  /// Closes all sockets. Must be called before the owners of listeners and connections are destroyed; run() calls it
  /// before it returns.
  void close();

  /// Makes run() return after the current iteration.
  void stop() { stopped_ = true; }

  /// Sets the callback for a stall: the loop woke at least base::kStallThreshold late, or one event took two seconds or
  /// longer. The process was stopped or its machine suspended. Timers that expired meanwhile run before the callback;
  /// input that arrived meanwhile is still unread and may be as old as the stall.
  void onStall(std::function<void(base::Duration)> handler) { onStall_ = std::move(handler); }

  /// Sets the description of the event or timer in progress, which is logged if it takes long.
  /// @param what must outlive the loop, such as a string literal
  void setEventDescription(std::string_view what) {
    updateClock();
    eventDescription_ = what;
  }

  /// @return statistics of events and timers that took 100 ms or longer.
  const LongEventStats& longEvents() const { return longEvents_; }

  /// Installs signal handlers that call back on the loop. Other signals keep their disposition; SIGPIPE is ignored.
  void onSignals(SignalHandlers handlers);

  /// Calls back whenever a descriptor is readable. The descriptor must stay open until the loop is closed.
  void watchFile(int file, std::function<void()> onReadable);

  /// Enables or disables polling of a watched descriptor.
  void setWatching(int file, bool watching);

  /// Registers a socket with the loop.
  /// @param stream receives the events of the socket until it is closed
  /// @return false if the loop is closed or can't register more descriptors
  bool adopt(int socket, const std::shared_ptr<TcpStream>& stream);

  /// @return number of open stream sockets, including those that are about to be closed.
  size_t openSockets() const { return openSockets_; }

  /// Sends the buffered bytes of a stream at the end of this iteration.
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
    lws* wsi = nullptr;  // null if libwebsockets did not accept the descriptor
  };

  /// Vhosts and protocols of libwebsockets; defined in the .cc file because its names clash with those of http_parser.
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
  std::map<TimerKey, std::function<void()>> timers_;             // ordered by due time, then by scheduling order
  std::unordered_map<base::TimerId, base::TimePoint> dueTimes_;  // due time of each entry of timers_
  base::TimePoint armedFor_{};
  base::TimePoint expectedWakeup_ = now();  // latest time at which the next event should begin
  bool waiting_ = false;                    // inside lws_service(), for an event or a timer
  base::TimePoint lastWakeupAt_ = now();    // end of the last wait
  base::TimePoint inputReadUntil_ = now();
  std::string_view eventDescription_;  // of the event in progress; empty for a timer
  LongEventStats longEvents_;
  base::Logger log_{"loop"};
  base::Duration pendingStall_{0};                        // longest stall that is not reported yet
  std::function<void(base::Duration)> onStall_;           // may be empty
  std::vector<std::weak_ptr<TcpStream>> pendingFlushes_;  // streams to flush at the end of the iteration
};

}  // namespace driftlug::transport
