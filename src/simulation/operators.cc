#include "simulation/operators.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace driftlug::simulation {
namespace {

using base::ErrorCode;
using table::RowKind;

constexpr base::Duration kRetryGap = base::milliseconds(50);
constexpr char kBundleNamePrefix[] = "extra-";

wire::Mutation mutationOf(wire::Row row, int64_t expectedRevision) {
  wire::Mutation mutation;
  row.revision = 0;
  mutation.row = std::move(row);
  mutation.expectedRevision = expectedRevision;
  return mutation;
}

wire::Mutation deletionOf(const wire::Row& row) {
  wire::Row deleted;
  deleted.key = row.key;
  deleted.deleted = true;
  return mutationOf(deleted, row.revision);
}

bool isFinal(ErrorCode code) {
  return code == ErrorCode::kNone || code == ErrorCode::kInvalidEdit || code == ErrorCode::kRevisionConflict ||
         code == ErrorCode::kRequestIdExpired || code == ErrorCode::kRequestIdReused;
}

}  // namespace

Operators::Operators(Cluster& cluster, OperatorOptions options)
    : cluster_(cluster), options_(options), random_(cluster.newRandom()) {}

std::string Operators::nextRequestId() { return absl::StrFormat("edit-%d", ++sequence_); }

void Operators::start() {
  wire::EditCommand first;
  first.requestId = nextRequestId();
  first.author = "setup";
  first.mutations = cluster_.plan().table;
  submit(first);
  if (options_.meanGap.count() > 0) cluster_.queue().at(options_.from, [this] { editNow(); });
}

void Operators::submit(wire::EditCommand edit) {
  ++counters_.edits;
  const auto requestId = edit.requestId;
  pendingEdits_[requestId].edit = std::move(edit);
  attempt(requestId);
}

void Operators::editNow() {
  if (cluster_.queue().now() >= options_.until) return;
  cluster_.queue().after(random_.duration(2 * options_.meanGap), [this] { editNow(); });
  auto& machine = *cluster_.controllers()[preferred_];
  if (!machine.running() || machine.controller() == nullptr) {
    preferred_ = (preferred_ + 1) % cluster_.controllers().size();
    return;
  }
  const auto& known = machine.controller()->state().table();
  if (known.rows().empty()) return;
  const auto edit = drawEdit(known);
  submit(edit);
  if (!random_.chance(options_.races)) return;
  // A second operator submits a conflicting change of the same revision.
  auto rival = edit;
  rival.requestId = nextRequestId();
  rival.author = "rival";
  for (auto& mutation : rival.mutations) {
    if (mutation.row.__isset.limitRow) ++mutation.row.limitRow.maxConcurrent;
    if (mutation.row.__isset.secretRow) mutation.row.secretRow.value += "-rival";
  }
  submit(rival);
}

wire::Mutation Operators::changeOf(const table::Row& row) {
  auto changed = row;
  if (changed.__isset.limitRow) changed.limitRow.maxConcurrent = 1 + static_cast<int32_t>(random_.below(100));
  if (changed.__isset.secretRow) changed.secretRow.value = absl::StrFormat("value-%016x", random_.bits());
  if (changed.__isset.routeRow) changed.routeRow.timeoutMs = 1000 + static_cast<int32_t>(random_.below(4000));
  if (changed.__isset.retryPolicyRow) {
    changed.retryPolicyRow.budgetPercent = 5 + static_cast<int32_t>(random_.below(20));
  }
  if (changed.__isset.endpointRow) changed.endpointRow.weight = 50 + static_cast<int32_t>(random_.below(50));
  return mutationOf(changed, row.revision);
}

wire::Mutation Operators::changeSecretsOf(const table::Row& service, const table::Table& known) {
  // Adds an existing secret to the service or removes one, so that unchanged rows enter or leave slices.
  auto changed = service;
  auto& secrets = changed.serviceRow.secrets;
  if (secrets.size() > 1) {
    secrets.pop_back();
    return mutationOf(changed, service.revision);
  }
  std::vector<std::string> names;
  for (const auto& [key, row] : known.rows()) {
    const bool used = std::find(secrets.begin(), secrets.end(), key.name) != secrets.end();
    if (key.kind == RowKind::SECRET && !used) names.push_back(key.name);
  }
  if (!names.empty()) secrets.push_back(names[random_.below(names.size())]);
  return mutationOf(changed, service.revision);
}

void Operators::addBundle(wire::EditCommand* edit) {
  // Adds a service, its secret and a route to it in one edit; no node may see one without the others.
  const auto name = kBundleNamePrefix + edit->requestId;
  wire::Row secret;
  secret.key = table::makeKey(RowKind::SECRET, name);
  secret.__isset.secretRow = true;
  secret.secretRow.value = name;
  wire::Row service;
  service.key = table::makeKey(RowKind::SERVICE, name);
  service.__isset.serviceRow = true;
  service.serviceRow.secrets = {name};
  wire::Row route;
  route.key = table::makeKey(RowKind::ROUTE, name);
  route.__isset.routeRow = true;
  const auto& hosts = cluster_.plan().nodes.front().hosts;
  route.routeRow.host = hosts.empty() ? "host.example" : hosts.front();
  route.routeRow.pathPrefix = "/" + name;
  wire::WeightedService share;
  share.serviceName = name;
  share.weight = 100;
  route.routeRow.shares = {share};
  route.routeRow.requiredSecrets = {name};
  route.routeRow.timeoutMs = 1000;
  for (const auto& row : {secret, service, route}) edit->mutations.push_back(mutationOf(row, 0));
}

void Operators::removeBundle(const table::Table& known, wire::EditCommand* edit) {
  std::vector<table::RowPtr> bundle;
  std::string name;
  for (const auto& [key, row] : known.rows()) {
    if (key.name.rfind(kBundleNamePrefix, 0) != 0) continue;
    if (name.empty()) name = key.name;
    if (key.name == name) bundle.push_back(row);
  }
  for (const auto& row : bundle) edit->mutations.push_back(deletionOf(*row));
}

void Operators::breakReference(const table::Table& known, wire::EditCommand* edit) {
  // Deletes a secret or service that a route may still need.
  std::vector<table::RowPtr> needed;
  for (const auto& [key, row] : known.rows()) {
    if (key.kind == RowKind::SECRET || key.kind == RowKind::SERVICE) needed.push_back(row);
  }
  if (!needed.empty()) edit->mutations.push_back(deletionOf(*needed[random_.below(needed.size())]));
}

wire::EditCommand Operators::drawEdit(const table::Table& known) {
  constexpr uint64_t kChoices = 10;
  wire::EditCommand edit;
  edit.requestId = nextRequestId();
  edit.author = "operator";
  edit.baseRevision = known.revision();
  if (random_.chance(options_.invalidEdits)) {
    breakReference(known, &edit);
    if (!edit.mutations.empty()) return edit;
  }
  const auto choice = random_.below(kChoices);
  if (choice == 0) addBundle(&edit);
  if (choice == 1) removeBundle(known, &edit);
  if (!edit.mutations.empty()) return edit;
  const size_t count = 1 + random_.below(2);
  std::set<size_t> positions;
  for (size_t i = 0; i < count; ++i) positions.insert(random_.below(known.rows().size()));
  size_t position = 0;
  for (const auto& [key, row] : known.rows()) {
    if (positions.count(position++) == 0) continue;
    const bool service = key.kind == RowKind::SERVICE;
    edit.mutations.push_back(service ? changeSecretsOf(*row, known) : changeOf(*row));
  }
  if (edit.mutations.empty()) addBundle(&edit);
  return edit;
}

void Operators::attempt(const std::string& requestId) {
  const auto found = pendingEdits_.find(requestId);
  if (found == pendingEdits_.end()) return;
  auto& pending = found->second;
  if (pending.attempts++ > 0) ++counters_.resends;
  const int attempt = pending.attempts;
  const auto position = preferred_;
  auto& machine = *cluster_.controllers()[position];
  const auto edit = pending.edit;
  auto& queue = cluster_.queue();
  const auto tryNext = [this, requestId, attempt, position] {
    const auto still = pendingEdits_.find(requestId);
    if (still == pendingEdits_.end() || still->second.attempts != attempt) return;
    if (preferred_ == position) preferred_ = (position + 1) % cluster_.controllers().size();
    this->attempt(requestId);
  };
  queue.after(options_.answerTimeout, tryNext);
  queue.after(options_.oneWay, [this, &machine, &queue, edit, requestId, tryNext] {
    if (!machine.running() || machine.controller() == nullptr) {
      queue.after(kRetryGap, tryNext);
      return;
    }
    machine.process().run(machine.process().incarnation(), [this, &machine, &queue, edit, requestId, tryNext] {
      machine.controller()->submitEdit(edit, [this, &queue, requestId, tryNext](const controller::EditAnswer& answer) {
        if (random_.chance(options_.lostAnswers)) return;
        if (!isFinal(answer.code)) {
          queue.after(options_.oneWay + kRetryGap, tryNext);
          return;
        }
        queue.after(options_.oneWay, [this, requestId, answer] { onAnswer(requestId, answer); });
      });
    });
  });
}

void Operators::onAnswer(const std::string& requestId, const controller::EditAnswer& answer) {
  auto outcome = answer.outcome;
  outcome.code = static_cast<int>(answer.code);
  cluster_.checker().onOutcome(requestId, outcome);
  if (pendingEdits_.erase(requestId) == 0) return;
  if (answer.code == ErrorCode::kNone) ++counters_.accepted;
  if (answer.code == ErrorCode::kNone && acceptedHook_) acceptedHook_();
  if (answer.code == ErrorCode::kRevisionConflict) ++counters_.conflicts;
  if (answer.code == ErrorCode::kInvalidEdit) ++counters_.invalid;
}

}  // namespace driftlug::simulation
