#include "table/validator.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <cctype>
#include <string>

namespace driftlug::table {
namespace {

/// Collects problems of one row.
class RowProblems {
 public:
  RowProblems(const RowKey& key, std::vector<Problem>* problems) : key_(key), problems_(problems) {}

  void add(std::string field, ProblemKind kind, std::string message) {
    problems_->push_back({key_, std::move(field), kind, std::move(message)});
  }

  void range(const char* field, int64_t value, int64_t lowest, int64_t highest) {
    if (value >= lowest && value <= highest) return;
    add(field, ProblemKind::kOutOfRange,
        std::to_string(value) + " is outside " + std::to_string(lowest) + " to " + std::to_string(highest));
  }

 private:
  const RowKey& key_;
  std::vector<Problem>* problems_;
};

bool isValidName(const std::string& name) {
  if (name.empty() || name.size() > kMaxNameBytes) return false;
  for (const char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) == 0 && c != '-' && c != '_' && c != '.') return false;
  }
  return true;
}

void checkEndpoint(const wire::EndpointRow& endpoint, RowProblems* problems) {
  if (endpoint.address.empty()) problems->add("address", ProblemKind::kOutOfRange, "must be an IP number");
  problems->range("port", endpoint.port, 1, 65535);
  problems->range("weight", endpoint.weight, 0, kWeightSum);
}

void checkIngress(const wire::IngressRow& ingress, RowProblems* problems) {
  problems->range("max_head_bytes", ingress.maxHeadBytes, 0, kMaxIngressBytes);
  problems->range("max_body_bytes", ingress.maxBodyBytes, 0, kMaxIngressBytes);
  problems->range("head_timeout_ms", ingress.headTimeoutMs, 0, kMaxTimeoutMs);
  problems->range("idle_timeout_ms", ingress.idleTimeoutMs, 0, kMaxTimeoutMs);
}

void checkRollout(const wire::RolloutRow& rollout, RowProblems* problems) {
  constexpr int kWholePermille = 1000;
  if (rollout.standing.empty()) problems->add("standing", ProblemKind::kOutOfRange, "must be a version");
  problems->range("target_permille", rollout.targetPermille, 0, kWholePermille);
  problems->range("group_size", rollout.groupSize, 0, INT32_MAX);
  problems->range("group_offset", rollout.groupOffset, 0, INT32_MAX);
}

void checkRoute(const wire::RouteRow& route, RowProblems* problems) {
  if (route.host.empty()) problems->add("host", ProblemKind::kOutOfRange, "must not be empty");
  if (route.pathPrefix.empty() || route.pathPrefix[0] != '/') {
    problems->add("path_prefix", ProblemKind::kOutOfRange, "must begin with /");
  }
  problems->range("timeout_ms", route.timeoutMs, 1, kMaxTimeoutMs);
  problems->range("max_attempts", route.maxAttempts, 0, kMaxAttempts);
  problems->range("target_latency_ms", route.targetLatencyMs, 0, kMaxTimeoutMs);
  problems->range("priority", route.priority, 0, kMaxPriority);
  int64_t sum = 0;
  for (const auto& share : route.shares) {
    problems->range("shares.weight", share.weight, 0, kWeightSum);
    sum += share.weight;
  }
  if (sum != kWeightSum) {
    problems->add("shares", ProblemKind::kWeightSum, "weights sum to " + std::to_string(sum) + ", not 100");
  }
  for (auto share = route.shares.begin(); share != route.shares.end(); ++share) {
    const auto same = [&](const auto& other) { return other.serviceName == share->serviceName; };
    if (std::any_of(route.shares.begin(), share, same)) {
      problems->add("shares", ProblemKind::kDuplicateMatch, "service " + share->serviceName + " stands twice");
    }
  }
}

void checkRate(const char* field, double value, RowProblems* problems) {
  // Negated, so that NaN is rejected too.
  if (!(value >= 0 && value <= kMaxRatePerS)) {
    problems->add(field, ProblemKind::kOutOfRange, "must be a number from 0 on");
  }
}

void checkTenant(const wire::TenantRow& tenant, RowProblems* problems) {
  std::set<std::string> seen;
  for (const auto& key : tenant.keys) {
    if (key.empty() || key.size() > kMaxSecretBytes) {
      problems->add("keys", ProblemKind::kOutOfRange, "a key is empty or too long");
    } else if (!seen.insert(key).second) {
      problems->add("keys", ProblemKind::kDuplicateMatch, "a key stands twice");
    }
  }
  if (tenant.__isset.priority) problems->range("priority", tenant.priority, 0, kMaxPriority);
  if (tenant.__isset.ratePerS) checkRate("rate_per_s", tenant.ratePerS, problems);
  if (tenant.__isset.burst) checkRate("burst", tenant.burst, problems);
}

/// Reports tenant keys that are used by two tenants: requests with such a key could be counted for either.
void checkDuplicateTenantKeys(const Table& table, std::vector<Problem>* problems) {
  std::map<std::string_view, std::string_view> holders;  // tenants by key
  for (auto item = table.rows().lower_bound(makeKey(RowKind::TENANT, "")); item != table.rows().end(); ++item) {
    const auto& [rowKey, row] = *item;
    if (rowKey.kind != RowKind::TENANT) break;
    for (const auto& key : row->tenantRow.keys) {
      const auto holder = holders.try_emplace(key, rowKey.name).first->second;
      if (holder == rowKey.name) continue;
      RowProblems(rowKey, problems)
          .add("keys", ProblemKind::kDuplicateMatch, "tenant " + std::string(holder) + " holds one of the keys");
    }
  }
}

/// Reports routes with equal match conditions. All other overlaps are resolved by precedence (longest prefix, then
/// exact method).
void checkDuplicateRoutes(const Row& row, const Table& table, RowProblems* problems) {
  for (const auto* other : table.routesWithSameMatch(row.routeRow)) {
    if (other->key.name == row.key.name) continue;
    problems->add("path_prefix", ProblemKind::kDuplicateMatch,
                  "same host, prefix and method as route " + other->key.name);
  }
}

void requireRow(const Table& table, RowKind::type kind, const std::string& name, const char* field,
                RowProblems* problems) {
  if (table.find(makeKey(kind, name))) return;
  problems->add(field, ProblemKind::kUnknownReference, std::string(kindName(kind)) + " " + name + " does not exist");
}

/// Reports rows that still refer to a deleted row.
void checkReferrers(const RowKey& deleted, const Table& table, std::vector<Problem>* problems) {
  for (const auto& [key, row] : table.rows()) {
    std::vector<Problem> found;
    checkReferences(*row, table, &found);
    for (auto& problem : found) {
      if (problem.kind != ProblemKind::kUnknownReference || !absl::StrContains(problem.message, deleted.name)) continue;
      problem.kind = ProblemKind::kDanglingReference;
      problem.message = "still refers to deleted " + keyText(deleted);
      problems->push_back(problem);
    }
  }
}

}  // namespace

bool isReferenceable(RowKind::type kind) {
  return kind == RowKind::SERVICE || kind == RowKind::SECRET || kind == RowKind::RETRY_POLICY;
}

std::string_view problemName(ProblemKind kind) {
  switch (kind) {
    case ProblemKind::kBadName:
      return "bad_name";
    case ProblemKind::kWrongBody:
      return "wrong_body";
    case ProblemKind::kOutOfRange:
      return "out_of_range";
    case ProblemKind::kWeightSum:
      return "weight_sum";
    case ProblemKind::kUnknownReference:
      return "unknown_reference";
    case ProblemKind::kDuplicateMatch:
      return "duplicate_match";
    case ProblemKind::kShadowedMatch:
      return "shadowed_match";
    case ProblemKind::kDanglingReference:
      return "dangling_reference";
  }
  return "unnamed";
}

void checkRow(const Row& row, std::vector<Problem>* problems) {
  RowProblems out(row.key, problems);
  if (!isValidName(row.key.name)) out.add("name", ProblemKind::kBadName, "letters, digits, '-', '_' and '.' only");
  if (!bodyMatchesKind(row)) {
    out.add("kind", ProblemKind::kWrongBody, "the body does not fit the kind");
    return;
  }
  if (row.deleted) return;
  if (row.__isset.endpointRow) checkEndpoint(row.endpointRow, &out);
  if (row.__isset.routeRow) checkRoute(row.routeRow, &out);
  if (row.__isset.serviceRow) {
    out.range("max_connections", row.serviceRow.maxConnections, 0, kMaxConnectionsLimit);
    if (row.serviceRow.__isset.coldStartS) checkRate("cold_start_s", row.serviceRow.coldStartS, &out);
    if (row.serviceRow.__isset.coldPerS) checkRate("cold_per_s", row.serviceRow.coldPerS, &out);
  }
  if (row.__isset.ingressRow) checkIngress(row.ingressRow, &out);
  if (row.__isset.noteRow && row.noteRow.text.size() > kMaxNoteBytes) {
    out.add("text", ProblemKind::kOutOfRange, "is too long");
  }
  if (row.__isset.rolloutRow) checkRollout(row.rolloutRow, &out);
  if (row.__isset.tenantRow) checkTenant(row.tenantRow, &out);
  if (row.__isset.limitRow) {
    out.range("max_concurrent", row.limitRow.maxConcurrent, 1, kMaxConcurrentLimit);
    out.range("max_queued", row.limitRow.maxQueued, 0, kMaxQueuedLimit);
  }
  if (row.__isset.retryPolicyRow) {
    out.range("max_attempts", row.retryPolicyRow.maxAttempts, 1, kMaxAttempts);
    out.range("budget_percent", row.retryPolicyRow.budgetPercent, 0, 100);
  }
  if (row.__isset.secretRow) {
    out.range("value", static_cast<int64_t>(row.secretRow.value.size()), 1, kMaxSecretBytes);
  }
}

void checkReferences(const Row& row, const Table& table, std::vector<Problem>* problems) {
  RowProblems out(row.key, problems);
  if (row.__isset.serviceRow) {
    const auto& policy = row.serviceRow.retryPolicy;
    if (!policy.empty()) requireRow(table, RowKind::RETRY_POLICY, policy, "retry_policy", &out);
    for (const auto& secret : row.serviceRow.secrets) requireRow(table, RowKind::SECRET, secret, "secrets", &out);
  }
  if (row.__isset.endpointRow) requireRow(table, RowKind::SERVICE, row.endpointRow.serviceName, "service", &out);
  if (row.__isset.limitRow) requireRow(table, RowKind::SERVICE, row.limitRow.serviceName, "service", &out);
  if (!row.__isset.routeRow) return;
  for (const auto& share : row.routeRow.shares) requireRow(table, RowKind::SERVICE, share.serviceName, "shares", &out);
  for (const auto& name : row.routeRow.requiredServices) {
    requireRow(table, RowKind::SERVICE, name, "required_services", &out);
  }
  for (const auto& name : row.routeRow.requiredSecrets) {
    requireRow(table, RowKind::SECRET, name, "required_secrets", &out);
  }
}

std::vector<Problem> checkEdit(const Table& table, const std::vector<RowPtr>& changed) {
  std::vector<Problem> problems;
  const bool tenants =
      std::any_of(changed.begin(), changed.end(), [](const RowPtr& row) { return row->key.kind == RowKind::TENANT; });
  if (tenants) checkDuplicateTenantKeys(table, &problems);
  for (const auto& row : changed) {
    if (row->deleted) {
      if (isReferenceable(row->key.kind)) checkReferrers(row->key, table, &problems);
      continue;
    }
    checkRow(*row, &problems);
    if (!bodyMatchesKind(*row)) continue;
    checkReferences(*row, table, &problems);
    if (!row->__isset.routeRow) continue;
    RowProblems out(row->key, &problems);
    checkDuplicateRoutes(*row, table, &out);
  }
  return problems;
}

std::vector<Problem> checkTable(const Table& table) {
  std::vector<RowPtr> rows;
  for (const auto& [key, row] : table.rows()) rows.push_back(row);
  return checkEdit(table, rows);
}

}  // namespace driftlug::table
