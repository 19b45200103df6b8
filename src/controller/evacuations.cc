#include "controller/evacuations.h"

#include <absl/strings/str_cat.h>

#include "controller/controller.h"

namespace driftlug::controller {
namespace {
constexpr char kAuthor[] = "operator";
constexpr int64_t kAnyRevision = -1;

table::RowKey keyOf(const std::string& zone) { return table::makeKey(wire::RowKind::EVACUATION, zone); }

wire::Mutation mutationOf(const std::string& zone, bool evacuated) {
  wire::Mutation mutation;
  mutation.row.key = keyOf(zone);
  mutation.row.deleted = !evacuated;
  mutation.row.__isset.evacuationRow = evacuated;
  mutation.expectedRevision = kAnyRevision;
  return mutation;
}

}  // namespace

Evacuations::Evacuations(Controller& controller) : controller_(controller) {}

void Evacuations::evacuate(const std::string& zone, Callback done) { setEvacuated(zone, true, done); }

void Evacuations::restore(const std::string& zone, Callback done) { setEvacuated(zone, false, done); }

std::vector<std::string> Evacuations::zones() const {
  std::vector<std::string> result;
  const auto& rows = controller_.state().table().rows();
  for (auto item = rows.lower_bound(keyOf("")); rows.end() != item; ++item) {
    if (wire::RowKind::EVACUATION != item->first.kind) {
      break;
    }
    result.push_back(item->first.name);
  }
  return result;
}

void Evacuations::setEvacuated(const std::string& zone, bool evacuated, const Callback& done) {
  if (!controller_.leads()) {
    return done(base::ErrorCode::kNotLeader);
  }
  // The local table of a leader that was partitioned away may be outdated; a quorum must confirm leadership first.
  controller_.confirmLeadership([this, alive = std::weak_ptr<bool>(alive_), zone, evacuated, done](bool confirmed) {
    if (alive.expired()) {
      return;
    }
    if (!confirmed) {
      return done(base::ErrorCode::kOutcomeUnknown);
    }
    const bool currentlyEvacuated = nullptr != controller_.state().table().find(keyOf(zone));
    if (currentlyEvacuated == evacuated) {
      return done(base::ErrorCode::kNone);
    }
    submit(zone, evacuated, done);
  });
}

void Evacuations::submit(const std::string& zone, bool evacuated, const Callback& done) {
  const auto revision = controller_.state().table().revision();
  wire::EditCommand edit;
  // Includes the table revision, so that repeated evacuations and restores of a zone are distinct requests.
  edit.requestId = absl::StrCat(evacuated ? "evacuate-" : "restore-", zone, "-", revision);
  edit.author = kAuthor;
  edit.baseRevision = revision;
  edit.mutations.push_back(mutationOf(zone, evacuated));
  controller_.submitEdit(
      std::move(edit), [this, alive = std::weak_ptr<bool>(alive_), zone, evacuated, done](const EditAnswer& answer) {
        if (!alive.expired()) {
          log_.info("zone={} {}: {}", zone, evacuated ? "evacuate" : "restore", base::errorName(answer.code));
        }
        done(answer.code);
      });
}

}  // namespace driftlug::controller
