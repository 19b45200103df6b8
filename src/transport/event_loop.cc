#include "transport/event_loop.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>

#include "base/log.h"

namespace driftlug::transport {
namespace {

constexpr unsigned kMaxHttpHeaderBytes = 16 * 1024;
constexpr int kKeepAliveSeconds = 60;
constexpr base::Duration kTerminatePoll = base::milliseconds(50);

volatile std::sig_atomic_t terminateAsked = 0;

void onSignal(int) { terminateAsked = 1; }

const lws_protocols* timerProtocols(lws_callback_function* callback, EventLoop* loop) {
  static lws_protocols protocols[2];
  std::memset(protocols, 0, sizeof(protocols));
  protocols[0].name = "timer";
  protocols[0].callback = callback;
  protocols[0].user = loop;
  return protocols;
}

}  // namespace

EventLoop::EventLoop() {
  lws_set_log_level(std::getenv("DRIFTLUG_LWS_LOG") != nullptr ? 1023 : 0, nullptr);
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.max_http_header_data = kMaxHttpHeaderBytes;
  info.pt_serv_buf_size = 64 * 1024;
  context_ = lws_create_context(&info);
  timerFile_ = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  lws_context_creation_info vhost{};
  vhost.port = CONTEXT_PORT_NO_LISTEN;
  vhost.vhost_name = "timer";
  vhost.protocols = timerProtocols(&EventLoop::onTimerFile, this);
  timerVhost_ = lws_create_vhost(context_, &vhost);
  lws_sock_file_fd_type file{};
  file.filefd = timerFile_;
  lws_adopt_descriptor_vhost(timerVhost_, LWS_ADOPT_RAW_FILE_DESC, file, "timer", nullptr);
}

EventLoop::~EventLoop() { close(); }

void EventLoop::close() {
  if (context_ == nullptr) return;
  running_ = true;  // callbacks of closing sockets may schedule, but nothing runs any more
  lws_context_destroy(context_);
  context_ = nullptr;
}

base::TimePoint EventLoop::now() const {
  return std::chrono::time_point_cast<base::Duration>(std::chrono::steady_clock::now());
}

base::TimerId EventLoop::schedule(base::Duration delay, std::function<void()> callback) {
  const auto id = nextId_++;
  const auto at = now() + std::max(delay, base::Duration(0));
  due_[{at, id}] = std::move(callback);
  timeOf_[id] = at;
  if (!running_) armTimer();
  return id;
}

base::WallTime EventLoop::wallTime() const {
  return std::chrono::time_point_cast<base::Duration>(std::chrono::system_clock::now());
}

void EventLoop::cancel(base::TimerId id) {
  const auto found = timeOf_.find(id);
  if (found == timeOf_.end()) return;
  due_.erase({found->second, id});
  timeOf_.erase(found);
}

void EventLoop::armTimer() {
  if (due_.empty()) return;
  const auto first = due_.begin()->first.at;
  if (armedFor_ == first) return;
  armedFor_ = first;
  const auto wait = std::max<int64_t>(1, std::chrono::nanoseconds(first - now()).count());
  itimerspec spec{};
  spec.it_value.tv_sec = wait / 1'000'000'000;
  spec.it_value.tv_nsec = wait % 1'000'000'000;
  timerfd_settime(timerFile_, 0, &spec, nullptr);
}

void EventLoop::runDue() {
  running_ = true;
  const auto until = now();
  while (!due_.empty() && due_.begin()->first.at <= until) {
    auto node = due_.extract(due_.begin());
    timeOf_.erase(node.key().id);
    node.mapped()();
  }
  running_ = false;
  armedFor_ = base::TimePoint{};
  armTimer();
}

int EventLoop::onTimerFile(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* /*in*/, size_t /*length*/) {
  if (reason != LWS_CALLBACK_RAW_RX_FILE) return 0;
  auto* loop = static_cast<EventLoop*>(lws_get_protocol(wsi)->user);
  uint64_t expirations = 0;
  if (::read(loop->timerFile_, &expirations, sizeof(expirations)) < 0) return 0;
  loop->runDue();
  return 0;
}

void EventLoop::run() {
  while (!stopped_) {
    if (lws_service(context_, 0) < 0) break;
  }
  close();
}

void EventLoop::onTerminate(std::function<void()> callback) {
  std::signal(SIGTERM, onSignal);
  std::signal(SIGINT, onSignal);
  std::signal(SIGPIPE, SIG_IGN);
  schedule(kTerminatePoll, [this, callback = std::move(callback)]() mutable {
    if (terminateAsked != 0) return callback();
    onTerminate(std::move(callback));
  });
}

lws_vhost* EventLoop::listen(const std::string& name, const std::string& host, int port, const lws_protocols* protocols,
                             const char* role) {
  lws_context_creation_info info{};
  info.port = port;
  info.iface = host.c_str();
  info.vhost_name = name.c_str();
  info.protocols = protocols;
  info.keepalive_timeout = kKeepAliveSeconds;
  if (role != nullptr) {
    info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = role;
    info.listen_accept_protocol = protocols[0].name;
  }
  return lws_create_vhost(context_, &info);
}

lws_vhost* EventLoop::createClientVhost(const std::string& name, const lws_protocols* protocols) {
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.vhost_name = name.c_str();
  info.protocols = protocols;
  return lws_create_vhost(context_, &info);
}

}  // namespace driftlug::transport
