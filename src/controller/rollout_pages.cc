#include "controller/rollout_pages.h"

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

constexpr char kAllPath[] = "/v1/rollouts";
constexpr char kOnePath[] = "/v1/rollouts/";
constexpr int kOk = 200;
/// Far beyond any order.
constexpr int64_t kLongestFinishByMs = int64_t{30} * 24 * 60 * 60 * 1000;

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
      kLongestFinishByMs < finishBy->get<int64_t>()) {
    return bad("finish_by_ms must be a time in milliseconds");
  }
  return RolloutOrder{service, version->get<std::string>(), base::milliseconds(finishBy->get<int64_t>())};
}

/// The row, and how the version looks while the order runs.
json shown(const wire::Row& row, const Rollouts& rollouts) {
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

RolloutPages::RolloutPages(Controller& controller, Elsewhere elsewhere)
    : controller_(controller), elsewhere_(std::move(elsewhere)) {}

bool RolloutPages::handle(const HttpRequest& request, const Respond& respond) {
  const auto& path = request.path;
  if (kAllPath != path && !absl::StartsWith(path, kOnePath)) {
    return false;
  }
  const auto service = kAllPath == path ? std::string() : path.substr(sizeof(kOnePath) - 1);
  if (!controller_.leads()) {
    respond(elsewhere_(request));
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

void RolloutPages::start(const std::string& service, const HttpRequest& request, const Respond& respond) {
  const auto order = parseOrder(service, request.body);
  if (!order.ok()) {
    return respond(errorResponse(base::errorCodeOf(order.status()), base::errorText(order.status())));
  }
  controller_.rollouts().order(*order, [this, service, request, respond](const RolloutAnswer& decided) {
    answer(decided, service, request, respond);
  });
}

void RolloutPages::abort(const std::string& service, const HttpRequest& request, const Respond& respond) {
  controller_.rollouts().abort(service, [this, service, request, respond](const RolloutAnswer& decided) {
    answer(decided, service, request, respond);
  });
}

void RolloutPages::answer(const RolloutAnswer& answer, const std::string& service, const HttpRequest& request,
                          const Respond& respond) const {
  if (ErrorCode::kNone == answer.code) {
    return respond(one(service));
  }
  if (ErrorCode::kNotLeader == answer.code) {
    return respond(elsewhere_(request));
  }
  respond(errorResponse(answer.code, answer.message));
}

void RolloutPages::show(const std::string& service, const HttpRequest& request, const Respond& respond) {
  controller_.confirmLeadership([this, service, request, respond](bool confirmed) {
    if (!confirmed) {
      return respond(elsewhere_(request));
    }
    respond(service.empty() ? all() : one(service));
  });
}

HttpResponse RolloutPages::one(const std::string& service) const {
  const auto row = controller_.rollouts().rowOf(service);
  if (!row) {
    return errorResponse(ErrorCode::kRowNotFound, "no version of this service is known");
  }
  return transport::jsonResponse(kOk, base::jsonText(shown(*row, controller_.rollouts())) + "\n");
}

HttpResponse RolloutPages::all() const {
  json list = json::array();
  for (const auto& [key, row] : controller_.state().table().rows()) {
    if (row->__isset.rolloutRow) {
      list.push_back(shown(*row, controller_.rollouts()));
    }
  }
  return transport::jsonResponse(kOk, base::jsonText({{"rollouts", list}}) + "\n");
}

}  // namespace driftlug::controller
