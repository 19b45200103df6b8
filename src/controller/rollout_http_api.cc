#include "controller/rollout_http_api.h"

#include <absl/status/statusor.h>
#include <absl/strings/match.h>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/json_text.h"
#include "controller/http_api.h"
#include "table/row_json.h"

namespace driftlug::controller {
namespace {
using base::ErrorCode;
using nlohmann::json;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr char kRolloutsPath[] = "/v1/rollouts";
constexpr char kRolloutPathPrefix[] = "/v1/rollouts/";
constexpr int kOk = 200;
/// Upper limit that rejects implausible values; far above the duration of any rollout.
constexpr int64_t kMaxFinishByMs = int64_t{30} * 24 * 60 * 60 * 1000;

absl::StatusOr<RolloutOrder> parseOrder(const std::string& service, const std::string& body) {
  const auto bad = [](const char* what) { return base::makeError(ErrorCode::kBadRequestBody, what); };
  const auto document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return bad("the body is no JSON object");
  }
  const auto version = document.find("version");
  if (version == document.end() || !version->is_string() || version->get<std::string>().empty()) {
    return bad("version must be text");
  }
  const auto finishBy = document.find("finish_by_ms");
  if (finishBy == document.end() || !finishBy->is_number_integer() || 0 >= finishBy->get<int64_t>() ||
      kMaxFinishByMs < finishBy->get<int64_t>()) {
    return bad("finish_by_ms must be a time in milliseconds");
  }
  return RolloutOrder{service, version->get<std::string>(), base::milliseconds(finishBy->get<int64_t>())};
}

/// @return the row as JSON, with the current verdict on the version while the rollout runs.
json rolloutToJson(const wire::Row& row, const Rollouts& rollouts) {
  auto out = table::rowToJson(row, false);
  if (wire::RolloutState::RUNNING != row.rolloutRow.state) {
    return out;
  }
  const auto verdict = rollouts.verdictOf(row.key.name);
  out["endpoints_tried"] = verdict.testedEndpoints;
  out["evidence"] = verdict.strength;
  out["against_it"] = verdict.reason;
  out["elapsed_ms"] = rollouts.elapsed(row.key.name) / base::milliseconds(1);
  return out;
}

}  // namespace

RolloutHttpApi::RolloutHttpApi(Controller& controller, RedirectResponder redirect)
    : controller_(controller), redirect_(std::move(redirect)) {}

bool RolloutHttpApi::handle(const HttpRequest& request, const Respond& respond) {
  const auto& path = request.path;
  if (kRolloutsPath != path && !absl::StartsWith(path, kRolloutPathPrefix)) {
    return false;
  }
  const auto service = kRolloutsPath == path ? std::string() : path.substr(sizeof(kRolloutPathPrefix) - 1);
  if (!controller_.leads()) {
    respond(redirect_(request));
  } else if ("GET" == request.method) {
    show(service, request, respond);
  } else if ("POST" == request.method && !service.empty()) {
    start(service, request, respond);
  } else if ("DELETE" == request.method && !service.empty()) {
    abort(service, request, respond);
  } else {
    respond(errorResponse(ErrorCode::kRowNotFound, "no such path or method"));
  }
  return true;
}

void RolloutHttpApi::start(const std::string& service, const HttpRequest& request, const Respond& respond) {
  const auto order = parseOrder(service, request.body);
  if (!order.ok()) {
    return respond(errorResponse(base::errorCodeOf(order.status()), base::errorText(order.status())));
  }
  controller_.rollouts().order(*order, [this, service, request, respond](const RolloutAnswer& decided) {
    answer(decided, service, request, respond);
  });
}

void RolloutHttpApi::abort(const std::string& service, const HttpRequest& request, const Respond& respond) {
  controller_.rollouts().abort(service, [this, service, request, respond](const RolloutAnswer& decided) {
    answer(decided, service, request, respond);
  });
}

void RolloutHttpApi::answer(const RolloutAnswer& answer, const std::string& service, const HttpRequest& request,
                            const Respond& respond) const {
  if (ErrorCode::kNone == answer.code) {
    return respond(getRollout(service));
  }
  if (ErrorCode::kNotLeader == answer.code) {
    return respond(redirect_(request));
  }
  respond(errorResponse(answer.code, answer.message));
}

void RolloutHttpApi::show(const std::string& service, const HttpRequest& request, const Respond& respond) {
  controller_.confirmLeadership([this, service, request, respond](bool confirmed) {
    if (!confirmed) {
      return respond(redirect_(request));
    }
    respond(service.empty() ? listRollouts() : getRollout(service));
  });
}

HttpResponse RolloutHttpApi::getRollout(const std::string& service) const {
  const auto row = controller_.rollouts().rowOf(service);
  if (!row) {
    return errorResponse(ErrorCode::kRowNotFound, "no version of this service is known");
  }
  return transport::jsonResponse(kOk, base::jsonText(rolloutToJson(*row, controller_.rollouts())) + "\n");
}

HttpResponse RolloutHttpApi::listRollouts() const {
  json list = json::array();
  for (const auto& [key, row] : controller_.state().table().rows()) {
    if (row->__isset.rolloutRow) {
      list.push_back(rolloutToJson(*row, controller_.rollouts()));
    }
  }
  return transport::jsonResponse(kOk, base::jsonText({{"rollouts", list}}) + "\n");
}

}  // namespace driftlug::controller
