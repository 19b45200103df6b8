#include "control_api_client.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <random>

#include "daemon.h"

namespace driftlug::apps {
namespace {

constexpr base::Duration kAttemptTimeout = base::seconds(2);
constexpr base::Duration kRetryDelay = base::milliseconds(50);
constexpr int kRedirect = 307;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

base::ErrorCode codeFromName(const std::string& name) {
  for (int number = 0; number < 100; ++number) {
    const auto code = static_cast<base::ErrorCode>(number);
    if (base::errorName(code) == name) return code;
  }
  return base::ErrorCode::kNone;
}

ApiAnswer toAnswer(const transport::HttpResponse& response) {
  ApiAnswer answer;
  answer.status = response.status;
  answer.body = nlohmann::json::parse(response.body, nullptr, false);
  if (answer.body.is_object()) answer.error = codeFromName(answer.body.value("error", ""));
  return answer;
}

/// @return the address in an `http://host:port/…` location, or the fallback if it has another form.
base::Address locationAddress(std::string_view location, const base::Address& fallback) {
  constexpr std::string_view kScheme = "http://";
  if (location.substr(0, kScheme.size()) != kScheme) return fallback;
  auto rest = std::string(location.substr(kScheme.size()));
  return parseAddressOrExit("location", rest.substr(0, rest.find('/')));
}

}  // namespace

std::string makeRequestId() {
  std::random_device device;
  const uint64_t high = (static_cast<uint64_t>(device()) << 32) | device();
  const uint64_t low = (static_cast<uint64_t>(device()) << 32) | device();
  return absl::StrFormat("%016x%016x", high, low);
}

ControlApiClient::ControlApiClient(SyncHttp& http, std::vector<base::Address> controllers, base::Duration timeout)
    : http_(http), controllers_(std::move(controllers)), timeout_(timeout) {}

base::Address ControlApiClient::nextController() { return controllers_[nextIndex_++ % controllers_.size()]; }

ApiAnswer ControlApiClient::request(const std::string& method, const std::string& path, const std::string& body) {
  const auto until = http_.loop().now() + timeout_;
  auto address = nextController();
  ApiAnswer last;
  while (http_.loop().now() < until) {
    transport::HttpRequest request;
    request.method = method;
    const auto question = path.find('?');
    request.path = path.substr(0, question);
    if (question != std::string::npos) request.query = path.substr(question + 1);
    request.body = body;
    const auto left = std::chrono::duration_cast<base::Duration>(until - http_.loop().now());
    const bool waits = path.find("wait_ms=") != std::string::npos;
    const auto result = http_.call(address, std::move(request), waits ? left : std::min(kAttemptTimeout, left));
    if (result.outcome == transport::HttpOutcome::kCompleted) {
      last = toAnswer(result.response);
      if (last.status == kRedirect) {
        address = locationAddress(transport::findHeader(result.response.headers, "location"), address);
        continue;
      }
      const bool retryable = last.status == kUnavailable || last.status == kGatewayTimeout;
      if (!retryable) return last;
    }
    http_.wait(kRetryDelay);
    address = nextController();
  }
  return last;
}

int64_t ControlApiClient::currentRevision() {
  // The revision of any controller will do: an older base only shortens the time during which the edit can be resent.
  const auto answer = request("GET", "/v1/status", "");
  return answer.status == 200 ? answer.body.value("revision", int64_t{-1}) : -1;
}

ApiAnswer ControlApiClient::edit(nlohmann::json edit) {
  // The base revision is set before the first attempt, so that the controllers can distinguish a resend from a new
  // edit.
  if (!edit.contains("base_revision")) {
    const auto revision = currentRevision();
    if (revision < 0) {
      ApiAnswer unreachable;
      unreachable.error = base::ErrorCode::kNotAccepted;
      return unreachable;
    }
    edit["base_revision"] = revision;
  }
  if (!edit.contains("request_id")) edit["request_id"] = makeRequestId();
  auto answer = request("POST", "/v1/edits", edit.dump());
  if (answer.status == 0) answer.error = base::ErrorCode::kOutcomeUnknown;
  return answer;
}

}  // namespace driftlug::apps
