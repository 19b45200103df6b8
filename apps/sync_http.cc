#include "sync_http.h"

#include <optional>

namespace driftlug::apps {

transport::HttpResult SyncHttp::call(const base::Address& address, transport::HttpRequest request,
                                     base::Duration timeout) {
  auto& pool = pools_[address];
  if (!pool) {
    const auto name = "sync-" + std::to_string(address.port);
    pool = std::make_unique<transport::HttpClientPool>(loop_, name, address.host, address.port, 1);
  }
  std::optional<transport::HttpResult> result;
  pool->send(std::move(request), timeout, [&result](transport::HttpResult done) { result = std::move(done); });
  while (!result) loop_.runOnce();
  return *result;
}

transport::HttpResult SyncHttp::get(const base::Address& address, const std::string& path, base::Duration timeout) {
  transport::HttpRequest request;
  request.method = "GET";
  const auto question = path.find('?');
  request.path = path.substr(0, question);
  if (question != std::string::npos) request.query = path.substr(question + 1);
  return call(address, std::move(request), timeout);
}

void SyncHttp::wait(base::Duration duration) {
  bool over = false;
  loop_.schedule(duration, [&over] { over = true; });
  while (!over) loop_.runOnce();
}

}  // namespace driftlug::apps
