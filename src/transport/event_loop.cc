#include "transport/event_loop.h"

#include <fcntl.h>
#include <libwebsockets.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "transport/tcp_stream.h"

namespace driftlug::transport {
namespace {

constexpr unsigned kServiceBufferBytes = 4 * 1024;
constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;

int signalWriteEnd = -1;

/// Writes the signal number to the pipe that the loop reads. Async-signal-safe.
void onSignal(int number) {
  const auto byte = static_cast<unsigned char>(number);
  (void)!::write(signalWriteEnd, &byte, 1);
}

/// Keeps a stream alive while its socket is registered with libwebsockets.
using StreamHolder = std::shared_ptr<TcpStream>;

}  // namespace

/// One vhost and protocol for watched files, another for stream sockets.
struct EventLoop::Library {
  static int onFileEvent(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length);
  static int onStreamEvent(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length);

  Library() {
    std::memset(fileProtocols, 0, sizeof(fileProtocols));
    fileProtocols[0].name = "file";
    fileProtocols[0].callback = &Library::onFileEvent;
    std::memset(streamProtocols, 0, sizeof(streamProtocols));
    streamProtocols[0].name = "stream";
    streamProtocols[0].callback = &Library::onStreamEvent;
  }

  static lws_vhost* createVhost(lws_context* context, const char* name, const lws_protocols* protocols) {
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    info.vhost_name = name;
    info.protocols = protocols;
    return lws_create_vhost(context, &info);
  }

  lws_protocols fileProtocols[2];
  lws_protocols streamProtocols[2];
  lws_vhost* fileVhost = nullptr;
  lws_vhost* streamVhost = nullptr;
};

EventLoop::EventLoop() : library_(std::make_unique<Library>()) {
  std::signal(SIGPIPE, SIG_IGN);
  lws_set_log_level(std::getenv("DRIFTLUG_LWS_LOG") != nullptr ? 1023 : 0, nullptr);
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
  info.pt_serv_buf_size = kServiceBufferBytes;
  context_ = lws_create_context(&info);
  library_->fileVhost = Library::createVhost(context_, "files", library_->fileProtocols);
  library_->streamVhost = Library::createVhost(context_, "streams", library_->streamProtocols);
  timerFile_ = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  watchFile(timerFile_, [this] {
    uint64_t expirations = 0;
    (void)!::read(timerFile_, &expirations, sizeof(expirations));
    armedFor_ = base::TimePoint{};
  });
}

EventLoop::~EventLoop() { close(); }

void EventLoop::close() {
  if (context_ == nullptr) return;
  auto* context = context_;
  context_ = nullptr;
  lws_context_destroy(context);
}

base::TimePoint EventLoop::now() const { return base::BootClock::now(); }

base::TimerId EventLoop::schedule(base::Duration delay, std::function<void()> callback) {
  const auto id = nextId_++;
  const auto at = now() + std::max(delay, base::Duration(0));
  timers_[{at, id}] = std::move(callback);
  dueTimes_[id] = at;
  return id;
}

base::WallTime EventLoop::wallTime() const {
  return std::chrono::time_point_cast<base::Duration>(std::chrono::system_clock::now());
}

void EventLoop::cancel(base::TimerId id) {
  const auto found = dueTimes_.find(id);
  if (found == dueTimes_.end()) return;
  timers_.erase({found->second, id});
  dueTimes_.erase(found);
}

void EventLoop::armTimer() {
  if (timers_.empty()) return;
  const auto first = timers_.begin()->first.at;
  // A timer armed for an earlier time causes one spurious wakeup, which is cheaper than another timerfd_settime().
  if (armedFor_ != base::TimePoint{} && armedFor_ <= first) return;
  armedFor_ = first;
  const auto wait = std::max<int64_t>(1, std::chrono::nanoseconds(first - now()).count());
  itimerspec spec{};
  spec.it_value.tv_sec = wait / kNanosecondsPerSecond;
  spec.it_value.tv_nsec = wait % kNanosecondsPerSecond;
  timerfd_settime(timerFile_, 0, &spec, nullptr);
}

void EventLoop::runDueTimers() {
  // Timers that callbacks schedule without delay also run here. The limits keep an endless chain, or long work split
  // into steps, from starving the sockets.
  constexpr int kMaxRounds = 16;
  constexpr base::Duration kMaxTime = base::milliseconds(10);
  const auto begun = now();
  for (int round = 0; round < kMaxRounds; ++round) {
    const auto until = now();
    if (timers_.empty() || timers_.begin()->first.at > until || (round > 0 && until - begun > kMaxTime)) return;
    while (!timers_.empty() && timers_.begin()->first.at <= until) {
      updateClock();
      auto node = timers_.extract(timers_.begin());
      dueTimes_.erase(node.key().id);
      node.mapped()();
    }
  }
}

/// Called at each event and timer, not only once per iteration: a process that is stopped under load is usually stopped
/// in the middle of an iteration.
void EventLoop::updateClock() {
  /// Above the longest regular event: 59 ms of CPU time in the log of a leader, which take 0.9 s with 0.065 of a core.
  constexpr base::Duration kEventStallThreshold = base::seconds(2);
  const auto time = now();
  const auto late = time - std::exchange(expectedWakeup_, time);
  const bool waited = std::exchange(waiting_, false);
  if (waited) {
    lastWakeupAt_ = time;
  } else {
    recordEvent(late);
  }
  if (late >= (waited ? base::kStallThreshold : kEventStallThreshold)) pendingStall_ = std::max(pendingStall_, late);
}

/// Counts and logs long events. Nothing is read or sent during an event, so that a long one delays heartbeats and all
/// other work.
void EventLoop::recordEvent(base::Duration took) {
  constexpr base::Duration kLongEventThreshold = base::milliseconds(100);
  const auto description = std::exchange(eventDescription_, {});
  if (took < kLongEventThreshold) return;
  ++longEvents_.count;
  longEvents_.longest = std::max(longEvents_.longest, took);
  log_.warn("{} ms in one event: {}", base::millisecondsOf(took), description.empty() ? "a timer" : description);
}

/// Runs expired timers and reports a pending stall before more input is read.
void EventLoop::notifyStall() {
  if (pendingStall_ == base::Duration(0)) return;
  const auto late = std::exchange(pendingStall_, base::Duration(0));
  runDueTimers();
  if (onStall_) onStall_(late);
}

void EventLoop::beginEvent() {
  updateClock();
  notifyStall();
}

void EventLoop::flushStreams() {
  while (!pendingFlushes_.empty()) {
    std::vector<std::weak_ptr<TcpStream>> streams;
    streams.swap(pendingFlushes_);
    for (const auto& weak : streams) {
      if (const auto stream = weak.lock()) stream->flush();
    }
  }
}

void EventLoop::runOnce() {
  if (context_ == nullptr) return;
  beginEvent();
  flushStreams();
  armTimer();
  waiting_ = true;
  expectedWakeup_ = armedFor_ == base::TimePoint{} ? base::TimePoint::max() : std::max(armedFor_, expectedWakeup_);
  if (lws_service(context_, 0) < 0) stopped_ = true;
  updateClock();
  inputReadUntil_ = lastWakeupAt_;
  runDueTimers();
  flushStreams();
}

void EventLoop::run() {
  while (!stopped_) runOnce();
  close();
}

void EventLoop::onSignals(SignalHandlers handlers) {
  signalHandlers_ = std::move(handlers);
  int ends[2] = {-1, -1};
  if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) return;
  signalPipe_ = ends[0];
  signalWriteEnd = ends[1];
  watchFile(signalPipe_, [this] { onSignalPipe(); });
  struct sigaction action {};
  action.sa_handler = &onSignal;
  action.sa_flags = SA_RESTART;
  if (signalHandlers_.terminate) {
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
  }
  if (signalHandlers_.reload) sigaction(SIGHUP, &action, nullptr);
}

void EventLoop::onSignalPipe() {
  unsigned char number = 0;
  while (::read(signalPipe_, &number, 1) == 1) {
    const auto& handler = number == SIGHUP ? signalHandlers_.reload : signalHandlers_.terminate;
    if (handler) schedule(base::Duration(0), handler);
  }
}

void EventLoop::watchFile(int file, std::function<void()> onReadable) {
  watches_.push_back(std::make_unique<FileWatch>(FileWatch{this, file, std::move(onReadable)}));
  lws_sock_file_fd_type descriptor{};
  descriptor.filefd = file;
  auto* wsi = lws_adopt_descriptor_vhost(library_->fileVhost, LWS_ADOPT_RAW_FILE_DESC, descriptor, "file", nullptr);
  if (wsi != nullptr) lws_set_opaque_user_data(wsi, watches_.back().get());
  watches_.back()->wsi = wsi;
}

void EventLoop::setWatching(int file, bool watching) {
  if (context_ == nullptr) return;
  for (const auto& watch : watches_) {
    if (watch->file == file && watch->wsi != nullptr) lws_rx_flow_control(watch->wsi, watching ? 1 : 0);
  }
}

int EventLoop::Library::onFileEvent(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* /*in*/,
                                    size_t /*length*/) {
  if (reason != LWS_CALLBACK_RAW_RX_FILE) return 0;
  auto* watch = static_cast<FileWatch*>(lws_get_opaque_user_data(wsi));
  if (watch == nullptr) return 0;
  watch->loop->beginEvent();
  watch->onReadable();
  return 0;
}

bool EventLoop::adopt(int socket, const std::shared_ptr<TcpStream>& stream) {
  if (context_ == nullptr) return false;
  // Registered as a file, the socket is only polled by libwebsockets. TcpStream reads it and can distinguish a reset
  // from an orderly end of data.
  lws_sock_file_fd_type descriptor{};
  descriptor.filefd = socket;
  auto* wsi = lws_adopt_descriptor_vhost(library_->streamVhost, LWS_ADOPT_RAW_FILE_DESC, descriptor, "stream", nullptr);
  if (wsi == nullptr) return false;
  lws_set_opaque_user_data(wsi, new StreamHolder(stream));
  stream->attach(wsi, socket);
  ++openSockets_;
  return true;
}

int EventLoop::Library::onStreamEvent(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* /*in*/,
                                      size_t /*length*/) {
  auto* holder = static_cast<StreamHolder*>(lws_get_opaque_user_data(wsi));
  if (holder == nullptr) return 0;
  const auto stream = *holder;
  stream->loop_.beginEvent();
  switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
      return stream->onReadable() ? 0 : -1;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
      return stream->onWritable() ? 0 : -1;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
      lws_set_opaque_user_data(wsi, nullptr);
      delete holder;
      stream->loop_.openSockets_ -= 1;
      stream->onSocketClosed();
      return 0;
    default:
      return 0;
  }
}

}  // namespace driftlug::transport
