#include "transport/http_server.h"

#include <absl/strings/numbers.h>

#include <cstring>

#include "base/error.h"
#include "transport/http_headers.h"

namespace driftlug::transport {
namespace {

constexpr size_t kMaxHeaderBytes = size_t{32} * 1024;
constexpr size_t kMaxWriteBytes = size_t{256} * 1024;
constexpr int kBodyTimeoutSeconds = 10;

struct MethodToken {
  lws_token_indexes token;
  const char* name;
};

constexpr MethodToken kMethods[] = {
    {WSI_TOKEN_GET_URI, "GET"},         {WSI_TOKEN_POST_URI, "POST"},     {WSI_TOKEN_PUT_URI, "PUT"},
    {WSI_TOKEN_PATCH_URI, "PATCH"},     {WSI_TOKEN_DELETE_URI, "DELETE"}, {WSI_TOKEN_HEAD_URI, "HEAD"},
    {WSI_TOKEN_OPTIONS_URI, "OPTIONS"},
};

std::string readMethod(lws* wsi) {
  for (const auto& method : kMethods) {
    if (lws_hdr_total_length(wsi, method.token) > 0) return method.name;
  }
  return "";
}

}  // namespace

HttpServer::HttpServer(EventLoop& loop, std::string name, HttpServerOptions options, RequestHandler onRequest,
                       AbortHandler onAbort)
    : loop_(loop),
      name_(std::move(name)),
      options_(options),
      onRequest_(std::move(onRequest)),
      onAbort_(std::move(onAbort)) {
  std::memset(protocols_, 0, sizeof(protocols_));
  protocols_[0].name = "http";
  protocols_[0].callback = &HttpServer::onEvent;
  protocols_[0].user = this;
  protocols_[0].rx_buffer_size = size_t{64} * 1024;
  protocols_[0].per_session_data_size = sizeof(int);  // requests seen on the connection
}

absl::Status HttpServer::listen(const std::string& host, int port) {
  if (loop_.listen(name_, host, port, protocols_, nullptr) != nullptr) return absl::OkStatus();
  return base::makeError(base::ErrorCode::kConnectFailed, "can't listen on " + host + ":" + std::to_string(port));
}

int HttpServer::onEvent(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length) {
  const auto* protocol = lws_get_protocol(wsi);
  if (protocol == nullptr || protocol->user == nullptr) return lws_callback_http_dummy(wsi, reason, user, in, length);
  return static_cast<HttpServer*>(protocol->user)->handleEvent(wsi, reason, user, in, length);
}

HttpServer::Exchange* HttpServer::exchangeOf(lws* wsi, ExchangeId* id) {
  *id = reinterpret_cast<ExchangeId>(lws_get_opaque_user_data(wsi));
  const auto found = exchanges_.find(*id);
  return found == exchanges_.end() ? nullptr : &found->second;
}

int HttpServer::handleEvent(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length) {
  ExchangeId id = 0;
  switch (reason) {
    case LWS_CALLBACK_HTTP:
      return onRequestHead(wsi, static_cast<int*>(user), std::string(static_cast<const char*>(in), length));
    case LWS_CALLBACK_HTTP_BODY: {
      auto* exchange = exchangeOf(wsi, &id);
      if (exchange == nullptr) return -1;
      if (exchange->refused) return 0;
      if (exchange->request.body.size() + length > options_.maxBodyBytes) {
        ++counters_.tooLarge;
        refuse(id, 413, "body_too_large", "the body is over the limit");
        return 0;
      }
      exchange->request.body.append(static_cast<const char*>(in), length);
      return 0;
    }
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      if (exchangeOf(wsi, &id) != nullptr) dispatch(id);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return onWriteable(wsi);
    case LWS_CALLBACK_CLOSED_HTTP: {
      const auto* exchange = exchangeOf(wsi, &id);
      lws_set_opaque_user_data(wsi, nullptr);
      if (exchange == nullptr) return 0;
      const bool waiting = exchange->dispatched && !exchange->responded;
      exchanges_.erase(id);
      if (!waiting) return 0;
      ++counters_.aborted;
      if (onAbort_) onAbort_(id);
      return 0;
    }
    default:
      return 0;
  }
}

int HttpServer::onRequestHead(lws* wsi, int* requestsBefore, std::string path) {
  const auto id = nextId_++;
  lws_set_opaque_user_data(wsi, reinterpret_cast<void*>(id));
  auto& exchange = exchanges_[id];
  exchange.wsi = wsi;
  if (requestsBefore != nullptr) exchange.request.firstOnConnection = (*requestsBefore)++ == 0;
  exchange.request.method = readMethod(wsi);
  exchange.request.path = std::move(path);
  exchange.request.query = readToken(wsi, WSI_TOKEN_HTTP_URI_ARGS);
  exchange.request.headers = readHeaders(wsi);
  const auto lengthText = readToken(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  const bool chunked = lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
  uint64_t expected = 0;
  const bool badLength = !lengthText.empty() && !absl::SimpleAtoi(lengthText, &expected);
  if (chunked || badLength) {
    // A body whose length is not certain is where request smuggling begins; it is refused whole.
    ++counters_.badLength;
    refuse(id, chunked ? 411 : 400, "bad_request_body", "one valid Content-Length is needed");
    return 0;
  }
  if (expected > options_.maxBodyBytes) {
    ++counters_.tooLarge;
    refuse(id, 413, "body_too_large", "the body is over the limit");
    return 0;
  }
  exchange.expectedBytes = expected;
  if (expected == 0) {
    dispatch(id);
  } else {
    lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT, kBodyTimeoutSeconds);
  }
  return 0;
}

void HttpServer::dispatch(ExchangeId id) {
  auto& exchange = exchanges_[id];
  if (exchange.dispatched || exchange.refused) return;
  exchange.dispatched = true;
  ++counters_.requests;
  lws_set_timeout(exchange.wsi, NO_PENDING_TIMEOUT, 0);
  onRequest_(id, std::move(exchange.request));
}

void HttpServer::refuse(ExchangeId id, int status, const char* error, const char* sentence) {
  exchanges_[id].refused = true;
  respond(id, jsonResponse(status, std::string(R"({"error":")") + error + R"(","message":")" + sentence + "\"}\n"));
}

void HttpServer::respond(ExchangeId id, HttpResponse response) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end() || found->second.responded) return;
  found->second.responded = true;
  found->second.response = std::move(response);
  lws_callback_on_writable(found->second.wsi);
}

int HttpServer::writeHead(Exchange* exchange) {
  std::vector<unsigned char> buffer(LWS_PRE + kMaxHeaderBytes);
  auto* start = buffer.data() + LWS_PRE;
  auto* position = start;
  auto* end = buffer.data() + buffer.size();
  const auto& response = exchange->response;
  if (lws_add_http_header_status(exchange->wsi, static_cast<unsigned>(response.status), &position, end) != 0) return -1;
  if (!writeHeaders(exchange->wsi, response.headers, &position, end)) return -1;
  if (exchange->refused || draining_) {
    if (!writeHeaders(exchange->wsi, {}, &position, end)) return -1;
    const auto* name = reinterpret_cast<const unsigned char*>("connection:");
    const auto* value = reinterpret_cast<const unsigned char*>("close");
    if (lws_add_http_header_by_name(exchange->wsi, name, value, 5, &position, end) != 0) return -1;
  }
  if (lws_add_http_header_content_length(exchange->wsi, response.body.size(), &position, end) != 0) return -1;
  if (lws_finalize_http_header(exchange->wsi, &position, end) != 0) return -1;
  const auto length = static_cast<size_t>(position - start);
  return lws_write(exchange->wsi, start, length, LWS_WRITE_HTTP_HEADERS) < static_cast<int>(length) ? -1 : 0;
}

int HttpServer::onWriteable(lws* wsi) {
  ExchangeId id = 0;
  auto* exchange = exchangeOf(wsi, &id);
  if (exchange == nullptr || !exchange->responded) return 0;
  const auto& body = exchange->response.body;
  if (!exchange->headersSent) {
    exchange->headersSent = true;
    if (writeHead(exchange) != 0) return -1;
    if (!body.empty() && exchange->request.method != "HEAD") {
      lws_callback_on_writable(wsi);
      return 0;
    }
  }
  if (exchange->offset < body.size()) {
    const size_t count = std::min(kMaxWriteBytes, body.size() - exchange->offset);
    std::string buffer(LWS_PRE, '\0');
    buffer.append(body, exchange->offset, count);
    exchange->offset += count;
    const bool last = exchange->offset == body.size();
    auto* bytes = reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE;
    const auto kind = last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
    if (lws_write(wsi, bytes, count, kind) < static_cast<int>(count)) return -1;
    if (!last) {
      lws_callback_on_writable(wsi);
      return 0;
    }
  }
  const bool closes = exchange->refused || draining_;
  exchanges_.erase(id);
  lws_set_opaque_user_data(wsi, nullptr);
  if (closes) return -1;
  return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

}  // namespace driftlug::transport
