#include "table/row_json.h"

#include "base/error.h"

namespace driftlug::table {
namespace {

using base::ErrorCode;
using base::makeError;
using nlohmann::json;

/// Reads typed fields of one JSON object and records which were read, in order to report unknown ones.
class FieldReader {
 public:
  FieldReader(const RowKey& key, const json& fields) : key_(key), fields_(fields) {}

  void text(const char* name, std::string* value) {
    const auto* field = take(name);
    if (field == nullptr) return;
    if (!field->is_string()) return fail(name, "must be a string");
    *value = field->get<std::string>();
  }

  void number(const char* name, int32_t* value) {
    const auto* field = take(name);
    if (field == nullptr) return;
    if (!field->is_number_integer()) return fail(name, "must be a whole number");
    const auto wide = field->get<int64_t>();
    if (wide < INT32_MIN || wide > INT32_MAX) return fail(name, "is out of range");
    *value = static_cast<int32_t>(wide);
  }

  /// @return whether the field is present
  bool fraction(const char* name, double* value) {
    const auto* field = take(name);
    if (field == nullptr) return false;
    if (!field->is_number()) {
      fail(name, "must be a number");
      return false;
    }
    *value = field->get<double>();
    return true;
  }

  bool has(const char* name) const { return fields_.contains(name); }

  void wideNumber(const char* name, int64_t* value) {
    const auto* field = take(name);
    if (field == nullptr) return;
    if (!field->is_number_integer()) return fail(name, "must be a whole number");
    *value = field->get<int64_t>();
  }

  void flag(const char* name, bool* value) {
    const auto* field = take(name);
    if (field == nullptr) return;
    if (!field->is_boolean()) return fail(name, "must be true or false");
    *value = field->get<bool>();
  }

  void names(const char* name, std::vector<std::string>* value) {
    const auto* field = take(name);
    if (field == nullptr) return;
    if (!field->is_array()) return fail(name, "must be a list of strings");
    for (const auto& item : *field) {
      if (!item.is_string()) return fail(name, "must be a list of strings");
      value->push_back(item.get<std::string>());
    }
  }

  void shares(const char* name, std::vector<wire::WeightedService>* value) {
    const auto* field = take(name);
    if (field == nullptr) return;
    if (!field->is_object()) return fail(name, "must map services to weights");
    for (const auto& [service, weight] : field->items()) {
      if (!weight.is_number_integer()) return fail(name, "must map services to whole numbers");
      wire::WeightedService share;
      share.serviceName = service;
      share.weight = weight.get<int32_t>();
      value->push_back(share);
    }
  }

  absl::Status finish() {
    for (const auto& [name, value] : fields_.items()) {
      const bool known = used_.count(name) > 0 || name == "kind" || name == "name" || name == "revision";
      if (!known) fail(name.c_str(), "is unknown");
    }
    return status_;
  }

 private:
  const json* take(const char* name) {
    const auto found = fields_.find(name);
    if (found == fields_.end()) return nullptr;
    used_.insert(name);
    return &*found;
  }

  void fail(const char* name, const char* what) {
    if (!status_.ok()) return;
    status_ = makeError(ErrorCode::kBadRequestBody, keyText(key_) + ": field " + name + " " + what);
  }

  const RowKey& key_;
  const json& fields_;
  std::set<std::string> used_;
  absl::Status status_;
};

const char* stateName(wire::RolloutState::type state) {
  switch (state) {
    case wire::RolloutState::STANDING:
      return "standing";
    case wire::RolloutState::RUNNING:
      return "running";
    case wire::RolloutState::COMPLETED:
      return "completed";
    case wire::RolloutState::ROLLED_BACK:
      return "rolled_back";
  }
  return "unknown";
}

json sharesToJson(const std::vector<wire::WeightedService>& shares) {
  json object = json::object();
  for (const auto& share : shares) object[share.serviceName] = share.weight;
  return object;
}

}  // namespace

json rowToJson(const Row& row, bool withSecretValue) {
  json out = {{"kind", kindName(row.key.kind)}, {"name", row.key.name}, {"revision", row.revision}};
  if (row.deleted) out["deleted"] = true;
  if (row.__isset.serviceRow) {
    out["retry_policy"] = row.serviceRow.retryPolicy;
    out["secrets"] = row.serviceRow.secrets;
    out["max_connections"] = row.serviceRow.maxConnections;
    out["health_path"] = row.serviceRow.healthPath;
    out["protocol"] = row.serviceRow.protocol;
    out["tls"] = row.serviceRow.tls;
    if (row.serviceRow.__isset.coldStartS) out["cold_start_s"] = row.serviceRow.coldStartS;
    if (row.serviceRow.__isset.coldPerS) out["cold_per_s"] = row.serviceRow.coldPerS;
  }
  if (row.__isset.endpointRow) {
    out["service"] = row.endpointRow.serviceName;
    out["address"] = row.endpointRow.address;
    out["port"] = row.endpointRow.port;
    out["zone"] = row.endpointRow.zone;
    out["weight"] = row.endpointRow.weight;
  }
  if (row.__isset.routeRow) {
    out["host"] = row.routeRow.host;
    out["path_prefix"] = row.routeRow.pathPrefix;
    out["method"] = row.routeRow.method;
    out["shares"] = sharesToJson(row.routeRow.shares);
    out["required_services"] = row.routeRow.requiredServices;
    out["required_secrets"] = row.routeRow.requiredSecrets;
    out["repeatable"] = row.routeRow.repeatable;
    out["timeout_ms"] = row.routeRow.timeoutMs;
    out["max_attempts"] = row.routeRow.maxAttempts;
    out["target_latency_ms"] = row.routeRow.targetLatencyMs;
    out["priority"] = row.routeRow.priority;
    out["large_bodies"] = row.routeRow.largeBodies;
    out["large_answers"] = row.routeRow.largeAnswers;
    if (row.routeRow.__isset.keyless) out["keyless"] = row.routeRow.keyless;
    if (row.routeRow.__isset.regions) out["regions"] = row.routeRow.regions;
  }
  if (row.__isset.limitRow) {
    out["service"] = row.limitRow.serviceName;
    out["max_concurrent"] = row.limitRow.maxConcurrent;
    out["max_queued"] = row.limitRow.maxQueued;
  }
  if (row.__isset.retryPolicyRow) {
    out["max_attempts"] = row.retryPolicyRow.maxAttempts;
    out["budget_percent"] = row.retryPolicyRow.budgetPercent;
  }
  if (row.__isset.ingressRow) {
    out["max_head_bytes"] = row.ingressRow.maxHeadBytes;
    out["max_body_bytes"] = row.ingressRow.maxBodyBytes;
    out["head_timeout_ms"] = row.ingressRow.headTimeoutMs;
    out["idle_timeout_ms"] = row.ingressRow.idleTimeoutMs;
  }
  if (row.__isset.noteRow) out["text"] = row.noteRow.text;
  if (row.__isset.rolloutRow) {
    out["standing"] = row.rolloutRow.standing;
    out["target"] = row.rolloutRow.target;
    out["state"] = stateName(row.rolloutRow.state);
    out["target_permille"] = row.rolloutRow.targetPermille;
    out["retiring"] = row.rolloutRow.retiring;
    out["finish_by_ms"] = row.rolloutRow.finishByMs;
    out["elapsed_ms"] = row.rolloutRow.elapsedMs;
    out["reason"] = row.rolloutRow.reason;
  }
  if (row.__isset.tenantRow) {
    const auto& tenant = row.tenantRow;
    if (withSecretValue) {
      out["keys"] = tenant.keys;
    } else {
      out["key_count"] = tenant.keys.size();
    }
    if (tenant.__isset.priority) out["priority"] = tenant.priority;
    if (tenant.__isset.ratePerS) out["rate_per_s"] = tenant.ratePerS;
    if (tenant.__isset.burst) out["burst"] = tenant.burst;
    if (tenant.__isset.regions) out["regions"] = tenant.regions;
  }
  if (row.__isset.secretRow) {
    if (withSecretValue) {
      out["value"] = row.secretRow.value;
    } else {
      out["value_bytes"] = row.secretRow.value.size();
    }
  }
  return out;
}

absl::StatusOr<Row> rowFromJson(const RowKey& key, const json& fields) {
  if (!fields.is_object()) return makeError(ErrorCode::kBadRequestBody, keyText(key) + ": must be an object");
  Row row;
  row.key = key;
  FieldReader reader(key, fields);
  switch (key.kind) {
    case RowKind::SERVICE:
      row.__isset.serviceRow = true;
      reader.text("retry_policy", &row.serviceRow.retryPolicy);
      reader.names("secrets", &row.serviceRow.secrets);
      reader.number("max_connections", &row.serviceRow.maxConnections);
      reader.text("health_path", &row.serviceRow.healthPath);
      reader.text("protocol", &row.serviceRow.protocol);
      reader.flag("tls", &row.serviceRow.tls);
      row.serviceRow.__isset.coldStartS = reader.fraction("cold_start_s", &row.serviceRow.coldStartS);
      row.serviceRow.__isset.coldPerS = reader.fraction("cold_per_s", &row.serviceRow.coldPerS);
      break;
    case RowKind::ENDPOINT:
      row.__isset.endpointRow = true;
      row.endpointRow.weight = kWeightSum;
      reader.text("service", &row.endpointRow.serviceName);
      reader.text("address", &row.endpointRow.address);
      reader.number("port", &row.endpointRow.port);
      reader.text("zone", &row.endpointRow.zone);
      reader.number("weight", &row.endpointRow.weight);
      break;
    case RowKind::ROUTE:
      row.__isset.routeRow = true;
      reader.text("host", &row.routeRow.host);
      reader.text("path_prefix", &row.routeRow.pathPrefix);
      reader.text("method", &row.routeRow.method);
      reader.shares("shares", &row.routeRow.shares);
      reader.names("required_services", &row.routeRow.requiredServices);
      reader.names("required_secrets", &row.routeRow.requiredSecrets);
      reader.flag("repeatable", &row.routeRow.repeatable);
      reader.number("timeout_ms", &row.routeRow.timeoutMs);
      reader.number("max_attempts", &row.routeRow.maxAttempts);
      reader.number("target_latency_ms", &row.routeRow.targetLatencyMs);
      reader.number("priority", &row.routeRow.priority);
      reader.flag("large_bodies", &row.routeRow.largeBodies);
      reader.flag("large_answers", &row.routeRow.largeAnswers);
      row.routeRow.__isset.keyless = reader.has("keyless");
      reader.flag("keyless", &row.routeRow.keyless);
      row.routeRow.__isset.regions = reader.has("regions");
      reader.names("regions", &row.routeRow.regions);
      break;
    case RowKind::LIMIT:
      row.__isset.limitRow = true;
      reader.text("service", &row.limitRow.serviceName);
      reader.number("max_concurrent", &row.limitRow.maxConcurrent);
      reader.number("max_queued", &row.limitRow.maxQueued);
      break;
    case RowKind::RETRY_POLICY:
      row.__isset.retryPolicyRow = true;
      reader.number("max_attempts", &row.retryPolicyRow.maxAttempts);
      reader.number("budget_percent", &row.retryPolicyRow.budgetPercent);
      break;
    case RowKind::SECRET:
      row.__isset.secretRow = true;
      reader.text("value", &row.secretRow.value);
      break;
    case RowKind::INGRESS:
      row.__isset.ingressRow = true;
      reader.number("max_head_bytes", &row.ingressRow.maxHeadBytes);
      reader.wideNumber("max_body_bytes", &row.ingressRow.maxBodyBytes);
      reader.number("head_timeout_ms", &row.ingressRow.headTimeoutMs);
      reader.number("idle_timeout_ms", &row.ingressRow.idleTimeoutMs);
      break;
    case RowKind::NOTE:
      row.__isset.noteRow = true;
      reader.text("text", &row.noteRow.text);
      break;
    case RowKind::TENANT:
      row.__isset.tenantRow = true;
      reader.names("keys", &row.tenantRow.keys);
      row.tenantRow.__isset.priority = reader.has("priority");
      reader.number("priority", &row.tenantRow.priority);
      row.tenantRow.__isset.ratePerS = reader.fraction("rate_per_s", &row.tenantRow.ratePerS);
      row.tenantRow.__isset.burst = reader.fraction("burst", &row.tenantRow.burst);
      row.tenantRow.__isset.regions = reader.has("regions");
      reader.names("regions", &row.tenantRow.regions);
      break;
    case RowKind::EVACUATION:
      row.__isset.evacuationRow = true;
      break;
    case RowKind::ROLLOUT:
      return makeError(ErrorCode::kBadRequestBody, keyText(key) + ": is changed by orders only");
    default:
      return makeError(ErrorCode::kBadRequestBody, "unknown row kind");
  }
  if (const auto status = reader.finish(); !status.ok()) return status;
  return row;
}

json problemToJson(const Problem& problem) {
  return {{"row", keyText(problem.row)},
          {"field", problem.field},
          {"problem", problemName(problem.kind)},
          {"message", problem.message}};
}

}  // namespace driftlug::table
