#include "controller/http_api.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/json_text.h"
#include "table/row_json.h"

namespace driftlug::controller {
namespace {

using base::ErrorCode;
using nlohmann::json;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr char kRowsPath[] = "/v1/rows";
constexpr char kKeysPath[] = "/v1/keys/";
constexpr char kRevisionsPath[] = "/v1/revisions/";
constexpr char kControllersPath[] = "/v1/controllers";
constexpr base::Duration kWaitInterval = base::milliseconds(100);
constexpr int64_t kMaxWaitMs = 60'000;
constexpr size_t kMaxMutations = 10'000;
constexpr size_t kMaxRequestIdBytes = 200;
constexpr size_t kDefaultHistory = 100;
constexpr size_t kMaxLaggingListed = 100;

int statusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidEdit:
      return 422;
    case ErrorCode::kRevisionConflict:
    case ErrorCode::kRequestIdReused:
      return 409;
    case ErrorCode::kRequestIdExpired:
      return 410;
    case ErrorCode::kRowNotFound:
      return 404;
    case ErrorCode::kBadRequestBody:
      return 400;
    case ErrorCode::kOutcomeUnknown:
      return 504;
    case ErrorCode::kStorageFull:
      return 507;
    default:
      return 503;
  }
}

int64_t numberParameter(const HttpRequest& request, const char* name, int64_t fallback) {
  int64_t value = 0;
  return absl::SimpleAtoi(request.parameter(name), &value) ? value : fallback;
}

absl::Status badBody(const std::string& description) {
  return base::makeError(ErrorCode::kBadRequestBody, description);
}

absl::StatusOr<wire::Mutation> parseMutation(const json& item) {
  if (!item.is_object()) return badBody("each edit must be an object");
  const auto kind = table::kindFromName(item.value("kind", ""));
  if (kind == 0) return badBody("edit without a known kind");
  const auto key = table::makeKey(kind, item.value("name", ""));
  wire::Mutation mutation;
  mutation.expectedRevision = item.value("expected_revision", int64_t{-1});
  const bool deletes = item.contains("delete") && item["delete"].is_boolean() && item["delete"].get<bool>();
  if (deletes) {
    mutation.row.key = key;
    mutation.row.deleted = true;
    return mutation;
  }
  if (!item.contains("row")) return badBody(table::keyText(key) + ": neither row nor delete");
  auto row = table::rowFromJson(key, item["row"]);
  if (!row.ok()) return row.status();
  mutation.row = std::move(*row);
  return mutation;
}

absl::StatusOr<wire::EditCommand> parseEdit(const std::string& body, int64_t currentRevision) {
  const auto document = json::parse(body, nullptr, false);
  if (!document.is_object()) return badBody("the body is no JSON object");
  try {
    wire::EditCommand edit;
    edit.requestId = document.value("request_id", "");
    edit.author = document.value("author", "");
    edit.baseRevision = document.value("base_revision", currentRevision);
    if (edit.requestId.empty() || edit.requestId.size() > kMaxRequestIdBytes) {
      return badBody("request_id must have 1 to 200 bytes");
    }
    const auto edits = document.find("edits");
    if (edits == document.end() || !edits->is_array() || edits->empty()) return badBody("edits must be a list");
    if (edits->size() > kMaxMutations) return badBody("too many edits at once");
    for (const auto& item : *edits) {
      auto mutation = parseMutation(item);
      if (!mutation.ok()) return mutation.status();
      edit.mutations.push_back(std::move(*mutation));
    }
    return edit;
  } catch (const json::exception& error) {
    return badBody(std::string("a field has the wrong type: ") + error.what());
  }
}

json outcomeToJson(const EditAnswer& answer) {
  json out = {{"request_id", answer.outcome.requestId}, {"revision", answer.outcome.revision}};
  out["result"] = answer.code == ErrorCode::kNone ? "accepted" : base::errorName(answer.code);
  if (answer.code != ErrorCode::kNone) out["error"] = base::errorName(answer.code);
  for (const auto& problem : answer.outcome.problems) {
    out["problems"].push_back({{"row", table::keyText(problem.key)},
                               {"field", problem.field},
                               {"problem", problem.problem},
                               {"message", problem.message}});
  }
  for (const auto& row : answer.outcome.currentRows) out["current"].push_back(table::rowToJson(row, false));
  return out;
}

/// @return what an operator should do about a response without an outcome.
const char* adviceFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::kOutcomeUnknown:
      return "send the same request_id and body again to learn the outcome";
    case ErrorCode::kNotLeader:
      return "no controller leads now; nothing was accepted, try again";
    case ErrorCode::kStorageFull:
      return "the controller's disk is full; nothing was accepted";
    default:
      return "nothing was accepted";
  }
}

HttpResponse editResponse(const EditAnswer& answer) {
  if (answer.outcome.requestId.empty()) return errorResponse(answer.code, adviceFor(answer.code));
  const int status = answer.code == ErrorCode::kNone ? 200 : statusOf(answer.code);
  return transport::jsonResponse(status, base::jsonText(outcomeToJson(answer)) + "\n");
}

absl::StatusOr<ControllerAddress> parseController(const std::string& body) {
  const auto document = json::parse(body, nullptr, false);
  if (!document.is_object()) return badBody("the body is no JSON object");
  try {
    ControllerAddress address;
    address.name = document.at("name").get<std::string>();
    address.frames.host = document.at("address").get<std::string>();
    address.frames.port = document.at("frame_port").get<int>();
    address.httpPort = document.at("http_port").get<int>();
    return address;
  } catch (const json::exception& error) {
    return badBody(std::string("name, address, frame_port and http_port are needed: ") + error.what());
  }
}

}  // namespace

HttpResponse errorResponse(ErrorCode code, const std::string& description) {
  const json body = {{"error", base::errorName(code)}, {"message", description}};
  return transport::jsonResponse(statusOf(code), base::jsonText(body) + "\n");
}

HttpApi::HttpApi(Controller& controller, base::Scheduler& scheduler)
    : controller_(controller),
      scheduler_(scheduler),
      waitTimer_(scheduler, [this] { onWaitTimer(); }),
      rollouts_(controller, [this](const HttpRequest& request) { return notLeaderResponse(request); }) {}

HttpResponse HttpApi::notLeaderResponse(const HttpRequest& request) const {
  auto response = errorResponse(ErrorCode::kNotLeader, "another controller leads, or none does");
  const auto leader = controller_.leaderName();
  for (const auto& member : controller_.raft().members()) {
    if (member.name != leader || member.name == controller_.name()) continue;
    std::string location = "http://" + member.address + ":" + std::to_string(member.httpPort) + request.path;
    if (!request.query.empty()) location += "?" + request.query;
    response.status = 307;
    response.headers.push_back(transport::makeHeader("location", location));
  }
  return response;
}

void HttpApi::handle(const HttpRequest& request, HttpRespond respond) {
  const auto& path = request.path;
  const bool reads = request.method == "GET" || request.method == "HEAD";
  if (path == "/v1/edits" && request.method == "POST") return postEdit(request, respond);
  if (path == kControllersPath || absl::StartsWith(path, std::string(kControllersPath) + "/")) {
    return controllers(request, respond);
  }
  if (rollouts_.handle(request, respond)) return;
  if (!reads) return respond(errorResponse(ErrorCode::kRowNotFound, "no such path or method"));
  if (path == kRowsPath) return confirmedRead(request, respond, [this, request] { return rows(request); });
  if (absl::StartsWith(path, std::string(kRowsPath) + "/")) {
    const auto rest = path.substr(std::string(kRowsPath).size() + 1);
    return confirmedRead(request, respond, [this, rest] { return oneRow(rest); });
  }
  if (path == "/v1/history") return confirmedRead(request, respond, [this, request] { return history(request); });
  if (absl::StartsWith(path, kKeysPath)) {
    const auto key = path.substr(std::string(kKeysPath).size());
    return confirmedRead(request, respond, [this, key] { return ledgerKey(key); });
  }
  if (path == "/v1/status") return respond(status());
  if (absl::StartsWith(path, kRevisionsPath) && absl::EndsWith(path, "/convergence")) {
    return getConvergence(request, respond);
  }
  respond(errorResponse(ErrorCode::kRowNotFound, "no such path"));
}

void HttpApi::confirmedRead(const HttpRequest& request, const HttpRespond& respond, Read read) {
  if (!controller_.ready() || controller_.raft().role() != consensus::RaftRole::kLeader) {
    return respond(notLeaderResponse(request));
  }
  controller_.confirmLeadership([this, request, respond, read = std::move(read)](bool confirmed) {
    respond(confirmed ? read() : notLeaderResponse(request));
  });
}

void HttpApi::postEdit(const HttpRequest& request, const HttpRespond& respond) {
  if (!controller_.ready() || controller_.raft().role() != consensus::RaftRole::kLeader) {
    return respond(notLeaderResponse(request));
  }
  auto edit = parseEdit(request.body, controller_.state().table().revision());
  if (!edit.ok()) return respond(errorResponse(ErrorCode::kBadRequestBody, base::errorText(edit.status())));
  controller_.submitEdit(std::move(*edit), [this, request, respond](const EditAnswer& answer) {
    respond(answer.code == ErrorCode::kNotLeader ? notLeaderResponse(request) : editResponse(answer));
  });
}

HttpResponse HttpApi::rows(const HttpRequest& request) const {
  const auto kind = request.parameter("kind");
  json list = json::array();
  for (const auto& [key, row] : controller_.state().table().rows()) {
    if (kind.empty() || table::kindName(key.kind) == kind) list.push_back(table::rowToJson(*row, false));
  }
  const json body = {{"revision", controller_.state().table().revision()}, {"rows", list}};
  return transport::jsonResponse(200, base::jsonText(body) + "\n");
}

HttpResponse HttpApi::oneRow(const std::string& kindAndName) const {
  const auto slash = kindAndName.find('/');
  const auto kind = table::kindFromName(kindAndName.substr(0, slash));
  const auto name = slash == std::string::npos ? "" : kindAndName.substr(slash + 1);
  const auto row = controller_.state().table().find(table::makeKey(kind, name));
  if (!row) return errorResponse(ErrorCode::kRowNotFound, kindAndName + " does not exist");
  return transport::jsonResponse(200, base::jsonText(table::rowToJson(*row, false)) + "\n");
}

HttpResponse HttpApi::history(const HttpRequest& request) const {
  auto limit = static_cast<size_t>(numberParameter(request, "limit", kDefaultHistory));
  json list = json::array();
  const auto& history = controller_.state().history();
  for (auto record = history.rbegin(); record != history.rend() && limit > 0; ++record, --limit) {
    json keys = json::array();
    for (const auto& key : record->keys) keys.push_back(table::keyText(key));
    list.push_back({{"revision", record->revision},
                    {"request_id", record->requestId},
                    {"author", record->author},
                    {"rows", keys}});
  }
  return transport::jsonResponse(200, base::jsonText({{"history", list}}) + "\n");
}

HttpResponse HttpApi::status() const {
  json members = json::array();
  const auto& raft = controller_.raft();
  for (const auto& member : raft.members()) {
    members.push_back({{"name", member.name},
                       {"id", member.id},
                       {"address", member.address},
                       {"frame_port", member.framePort},
                       {"http_port", member.httpPort},
                       {"voting", member.voting},
                       {"active", raft.recentlyActive(member.id)}});
  }
  const json body = {{"name", controller_.name()},
                     {"leader", controller_.leaderName()},
                     {"leads", raft.role() == consensus::RaftRole::kLeader},
                     {"term", raft.term()},
                     {"forming", raft.forming()},
                     {"log_index", raft.lastIndex()},
                     {"commit_index", raft.commitIndex()},
                     {"revision", controller_.state().table().revision()},
                     {"relays", controller_.relays().size()},
                     {"nodes", controller_.convergence().attachedNodes()},
                     {"storage_failed", raft.storageFailed()},
                     {"controllers", members}};
  return transport::jsonResponse(200, base::jsonText(body) + "\n");
}

HttpResponse HttpApi::ledgerKey(const std::string& key) const {
  const auto* record = controller_.ledger().find(key);
  json body = {{"key", key}, {"state", "unknown"}};
  if (record != nullptr) {
    body["state"] = record->completed ? "completed" : "claimed";
    body["owner"] = record->owner;
    if (record->completed) body["http_status"] = record->answer.httpStatus;
  }
  return transport::jsonResponse(record == nullptr ? 404 : 200, base::jsonText(body) + "\n");
}

HttpResponse HttpApi::convergence(int64_t revision) const {
  const auto view = controller_.convergence().view(revision);
  json lagging = json::array();
  for (const auto& node : view.lagging) {
    if (lagging.size() == kMaxLaggingListed) break;
    lagging.push_back({{"node", node.nodeId}, {"revision", node.revision}, {"attached", node.attached}});
  }
  const json body = {{"revision", revision},     {"everywhere", view.everywhere()},
                     {"in_force", view.inForce}, {"lagging", view.lagging.size()},
                     {"gone", view.gone},        {"complete", view.complete},
                     {"lagging_nodes", lagging}};
  return transport::jsonResponse(200, base::jsonText(body) + "\n");
}

void HttpApi::getConvergence(const HttpRequest& request, const HttpRespond& respond) {
  int64_t revision = 0;
  const auto text = request.path.substr(std::string(kRevisionsPath).size());
  if (!absl::SimpleAtoi(text.substr(0, text.find('/')), &revision)) {
    return respond(errorResponse(ErrorCode::kBadRequestBody, "the revision is no number"));
  }
  if (controller_.raft().role() != consensus::RaftRole::kLeader) return respond(notLeaderResponse(request));
  const int64_t waitMs = std::clamp<int64_t>(numberParameter(request, "wait_ms", 0), 0, kMaxWaitMs);
  if (waitMs == 0 || controller_.convergence().inForceEverywhere(revision)) return respond(convergence(revision));
  waiters_.push_back({revision, scheduler_.now() + base::milliseconds(waitMs), respond});
  if (!waitTimer_.running()) waitTimer_.start(kWaitInterval);
}

void HttpApi::onConvergenceChanged() {
  const auto now = scheduler_.now();
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    if (now < waiter->deadline && !controller_.convergence().inForceEverywhere(waiter->revision)) {
      ++waiter;
      continue;
    }
    const auto respond = std::move(waiter->respond);
    const auto revision = waiter->revision;
    waiter = waiters_.erase(waiter);
    respond(convergence(revision));
  }
}

void HttpApi::onWaitTimer() {
  onConvergenceChanged();
  if (!waiters_.empty()) waitTimer_.start(kWaitInterval);
}

void HttpApi::controllers(const HttpRequest& request, const HttpRespond& respond) {
  if (request.method == "GET") return respond(status());
  if (controller_.raft().role() != consensus::RaftRole::kLeader) return respond(notLeaderResponse(request));
  absl::Status result;
  if (request.method == "POST") {
    const auto address = parseController(request.body);
    result = address.ok() ? controller_.addController(*address) : address.status();
  } else if (request.method == "DELETE") {
    result = controller_.removeController(request.path.substr(std::min(request.path.size(), sizeof(kControllersPath))));
  } else {
    result = base::makeError(ErrorCode::kRowNotFound, "no such method");
  }
  if (!result.ok()) return respond(errorResponse(base::errorCodeOf(result), base::errorText(result)));
  respond(transport::jsonResponse(202, R"({"result":"begun"})"
                                       "\n"));
}

}  // namespace driftlug::controller
