#include "transport/http_client.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cstring>

#include "transport/http_headers.h"

namespace driftlug::transport {
namespace {

constexpr uint16_t kKeepWarmSeconds = 20;
constexpr size_t kReadBufferBytes = size_t{64} * 1024;
constexpr size_t kMaxHeadBytes = size_t{8} * 1024;
/// Time in which libwebsockets has certainly closed a connection that it was told to kill.
constexpr base::Duration kKillDelay = base::milliseconds(10);

/// Puts another host name into the request head that libwebsockets has written so far.
/// @param position where the head ends; moved with it
/// @return whether the result fits before end
bool replaceHost(std::string_view current, std::string_view wanted, unsigned char** position,
                 const unsigned char* end) {
  const std::string field = "Host: " + std::string(current) + "\r\n";
  auto* head = reinterpret_cast<char*>(*position);
  // The head holds the field exactly once, at most kMaxHeadBytes before its end.
  for (size_t back = field.size(); back < kMaxHeadBytes; ++back) {
    char* start = head - back;
    if (std::memcmp(start, field.data(), field.size()) != 0) continue;
    const auto growth = static_cast<ptrdiff_t>(wanted.size()) - static_cast<ptrdiff_t>(current.size());
    if (*position + growth >= end) return false;
    char* rest = start + field.size() - 2;
    std::memmove(rest + growth, rest, static_cast<size_t>(head - rest));
    std::memcpy(rest - current.size(), wanted.data(), wanted.size());
    *position += growth;
    return true;
  }
  return false;
}

}  // namespace

HttpClientPool::HttpClientPool(EventLoop& loop, std::string name, std::string host, int port, size_t maxConnections)
    : loop_(loop), name_(std::move(name)), host_(std::move(host)), port_(port), maxConnections_(maxConnections) {
  std::memset(protocols_, 0, sizeof(protocols_));
  protocols_[0].name = "http-client";
  protocols_[0].callback = &HttpClientPool::onEvent;
  protocols_[0].user = this;
  protocols_[0].rx_buffer_size = kReadBufferBytes;
}

HttpClientPool::~HttpClientPool() {
  *alive_ = false;
  protocols_[0].user = nullptr;
}

HttpRequestId HttpClientPool::send(HttpRequest request, base::Duration timeout, Callback done) {
  const auto id = nextId_++;
  ++counters_.requests;
  waiting_.push_back({id, std::move(request), timeout, std::move(done)});
  startWaiting();
  return id;
}

void HttpClientPool::startWaiting() {
  while (!waiting_.empty() && (!freeSlots_.empty() || slots_.size() < maxConnections_)) {
    auto waiting = std::move(waiting_.front());
    waiting_.pop_front();
    start(std::move(waiting));
  }
}

void HttpClientPool::start(Waiting waiting) {
  if (freeSlots_.empty()) {
    slots_.push_back(loop_.createClientVhost(name_ + "-" + std::to_string(slots_.size()), protocols_));
    freeSlots_.push_back(slots_.size() - 1);
  }
  auto owned = std::make_unique<Active>();
  auto* active = owned.get();
  active->request = std::move(waiting.request);
  active->done = std::move(waiting.done);
  active->slot = freeSlots_.back();
  freeSlots_.pop_back();
  const auto id = waiting.id;
  active_[id] = std::move(owned);
  active->timer = loop_.schedule(waiting.timeout, [this, alive = alive_, id] {
    if (*alive) onTimeout(id);
  });
  std::string path = active->request.path;
  if (!active->request.query.empty()) path += "?" + active->request.query;
  lws_client_connect_info info{};
  info.context = loop_.context();
  info.vhost = slots_[active->slot];
  info.address = host_.c_str();
  info.port = port_;
  info.path = path.c_str();
  // libwebsockets reuses a connection only when this equals the address; replaceHost() puts the real name in.
  info.host = host_.c_str();
  info.method = active->request.method.c_str();
  info.local_protocol_name = protocols_[0].name;
  info.opaque_user_data = reinterpret_cast<void*>(id);
  // A redirect is the caller's to follow: it knows whether the request may be sent again.
  info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  info.keep_warm_secs = kKeepWarmSeconds;
  lws* wsi = nullptr;
  info.pwsi = &wsi;
  const auto* result = lws_client_connect_via_info(&info);
  active = find(id);
  if (active == nullptr) return;
  if (result != nullptr) {
    active->wsi = wsi;
    return;
  }
  loop_.schedule(base::Duration(0), [this, alive = alive_, id] {
    if (*alive) finish(id);
  });
}

HttpClientPool::Active* HttpClientPool::find(HttpRequestId id) {
  const auto found = active_.find(id);
  return found == active_.end() ? nullptr : found->second.get();
}

int HttpClientPool::onEvent(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length) {
  const auto* protocol = lws_get_protocol(wsi);
  if (protocol == nullptr || protocol->user == nullptr) return lws_callback_http_dummy(wsi, reason, user, in, length);
  return static_cast<HttpClientPool*>(protocol->user)->handleEvent(wsi, reason, in, length);
}

int HttpClientPool::handleEvent(lws* wsi, lws_callback_reasons reason, void* in, size_t length) {
  const auto id = reinterpret_cast<HttpRequestId>(lws_get_opaque_user_data(wsi));
  auto* active = find(id);
  switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      if (active == nullptr) return -1;
      return appendHeaders(active, wsi, static_cast<unsigned char**>(in), length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      if (active == nullptr) return -1;
      return writeBody(active, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      if (active == nullptr) return -1;
      readResponseHead(active, wsi);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
      std::vector<char> buffer(LWS_PRE + kReadBufferBytes);
      char* position = buffer.data() + LWS_PRE;
      int room = static_cast<int>(kReadBufferBytes);
      return lws_http_client_read(wsi, &position, &room) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      if (active == nullptr) return -1;
      active->result.response.body.append(static_cast<const char*>(in), length);
      return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      if (active == nullptr) return -1;
      active->completed = true;
      finish(id);
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      lws_set_opaque_user_data(wsi, nullptr);
      if (active == nullptr) return 0;
      active->wsi = nullptr;
      loop_.schedule(base::Duration(0), [this, alive = alive_, id] {
        if (*alive) finish(id);
      });
      return 0;
    default:
      return lws_callback_http_dummy(wsi, reason, nullptr, in, length);
  }
}

int HttpClientPool::appendHeaders(Active* active, lws* wsi, unsigned char** position, size_t room) {
  active->handshakeSent = true;
  auto* end = *position + room;
  const auto hostName = active->request.header("host");
  if (!hostName.empty() && hostName != host_ && !replaceHost(host_, hostName, position, end)) return -1;
  auto headers = active->request.headers;
  std::erase_if(headers, [](const auto& header) { return header.name == "host" || header.name == "origin"; });
  if (!writeHeaders(wsi, headers, position, end)) return -1;
  const bool hasBody = !active->request.body.empty() || active->request.method == "POST" ||
                       active->request.method == "PUT" || active->request.method == "PATCH";
  if (!hasBody) return 0;
  const auto length = std::to_string(active->request.body.size());
  const auto* name = reinterpret_cast<const unsigned char*>("content-length:");
  const auto* value = reinterpret_cast<const unsigned char*>(length.data());
  if (lws_add_http_header_by_name(wsi, name, value, static_cast<int>(length.size()), position, end) != 0) return -1;
  if (active->request.body.empty()) return 0;
  lws_client_http_body_pending(wsi, 1);
  lws_callback_on_writable(wsi);
  return 0;
}

int HttpClientPool::writeBody(Active* active, lws* wsi) {
  if (active->bodySent || active->request.body.empty()) return 0;
  active->bodySent = true;
  std::string buffer(LWS_PRE, '\0');
  buffer += active->request.body;
  auto* bytes = reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE;
  const auto length = active->request.body.size();
  lws_client_http_body_pending(wsi, 0);
  return lws_write(wsi, bytes, length, LWS_WRITE_HTTP_FINAL) < static_cast<int>(length) ? -1 : 0;
}

void HttpClientPool::readResponseHead(Active* active, lws* wsi) {
  active->wsi = wsi;
  active->result.response.status = static_cast<int>(lws_http_client_http_response(wsi));
  active->result.response.headers = readHeaders(wsi);
  int64_t length = 0;
  if (absl::SimpleAtoi(readToken(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH), &length)) active->contentLength = length;
}

void HttpClientPool::release(Active* active) {
  loop_.cancel(active->timer);
  freeSlots_.push_back(active->slot);
}

void HttpClientPool::kill(Active* active) {
  loop_.cancel(active->timer);
  if (active->wsi != nullptr) {
    lws_set_opaque_user_data(active->wsi, nullptr);
    lws_set_timeout(active->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
  // A request that reused the slot before the connection is gone would be lost with it.
  loop_.schedule(kKillDelay, [this, alive = alive_, slot = active->slot] {
    if (!*alive) return;
    freeSlots_.push_back(slot);
    startWaiting();
  });
}

void HttpClientPool::finish(HttpRequestId id) {
  const auto found = active_.find(id);
  if (found == active_.end()) return;
  auto active = std::move(found->second);
  active_.erase(found);
  if (active->result.timedOut) {
    kill(active.get());
  } else {
    release(active.get());
  }
  auto& result = active->result;
  const auto received = static_cast<int64_t>(result.response.body.size());
  const bool headOnly =
      active->request.method == "HEAD" || result.response.status == 204 || result.response.status == 304;
  const bool whole = active->completed && (headOnly || active->contentLength < 0 || active->contentLength == received);
  if (whole) {
    result.outcome = HttpOutcome::kCompleted;
  } else {
    ++counters_.failures;
    result.outcome = active->handshakeSent ? HttpOutcome::kUnknown : HttpOutcome::kNotSent;
  }
  loop_.schedule(base::Duration(0), [this, alive = alive_, done = std::move(active->done), result] {
    if (!*alive) return;
    done(result);
    if (*alive) startWaiting();
  });
}

void HttpClientPool::onTimeout(HttpRequestId id) {
  auto* active = find(id);
  if (active == nullptr) return;
  active->timer = 0;
  active->result.timedOut = true;
  finish(id);
}

void HttpClientPool::cancel(HttpRequestId id) {
  const auto queued = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& item) { return item.id == id; });
  if (queued != waiting_.end()) {
    waiting_.erase(queued);
    return;
  }
  auto* active = find(id);
  if (active == nullptr) return;
  kill(active);
  active_.erase(id);
}

}  // namespace driftlug::transport
