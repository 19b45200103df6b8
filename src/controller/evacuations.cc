#include "controller/evacuations.h"

#include <absl/strings/str_cat.h>

#include "controller/controller.h"

namespace driftlug::controller {
namespace {
constexpr char kAuthor[] = "operator";
constexpr int64_t kAnyRevision = -1;

table::RowKey keyOf(const std::string& _zone) { return table::makeKey(wire::RowKind::EVACUATION, _zone); }

wire::Mutation mutationOf(const std::string& _zone, bool _evacuated) {
  wire::Mutation mutation;
  mutation.row.key = keyOf(_zone);
  mutation.row.deleted = !_evacuated;
  mutation.row.__isset.evacuationRow = _evacuated;
  mutation.expectedRevision = kAnyRevision;
  return mutation;
}

}  // namespace

evacuations::evacuations(Controller& _controller) : m_controller(_controller) {}

void evacuations::evacuate(const std::string& _zone, callback _done) { order(_zone, true, _done); }

void evacuations::restore(const std::string& _zone, callback _done) { order(_zone, false, _done); }

std::vector<std::string> evacuations::zones() const {
  std::vector<std::string> result;
  const auto& rows = m_controller.state().table().rows();
  for (auto item = rows.lower_bound(keyOf("")); rows.end() != item; ++item) {
    if (wire::RowKind::EVACUATION != item->first.kind) {
      break;
    }
    result.push_back(item->first.name);
  }
  return result;
}

void evacuations::order(const std::string& _zone, bool _evacuated, const callback& _done) {
  if (!m_controller.leads()) {
    return _done(base::ErrorCode::kNotLeader);
  }
  // What stands already may be the word of a leader that was cut off; only a quorum makes it certain.
  m_controller.confirmLeadership(
      [this, alive = std::weak_ptr<bool>(m_alive), _zone, _evacuated, _done](bool _confirmed) {
        if (alive.expired()) {
          return;
        }
        if (!_confirmed) {
          return _done(base::ErrorCode::kOutcomeUnknown);
        }
        const bool stands = nullptr != m_controller.state().table().find(keyOf(_zone));
        if (stands == _evacuated) {
          return _done(base::ErrorCode::kNone);
        }
        submit(_zone, _evacuated, _done);
      });
}

void evacuations::submit(const std::string& _zone, bool _evacuated, const callback& _done) {
  const auto revision = m_controller.state().table().revision();
  wire::EditCommand edit;
  // Orders follow each other for good reason, so each has a name of its own: that of the table that it changes.
  edit.requestId = absl::StrCat(_evacuated ? "evacuate-" : "restore-", _zone, "-", revision);
  edit.author = kAuthor;
  edit.baseRevision = revision;
  edit.mutations.push_back(mutationOf(_zone, _evacuated));
  m_controller.submitEdit(std::move(edit), [this, alive = std::weak_ptr<bool>(m_alive), _zone, _evacuated,
                                            _done](const EditAnswer& _answer) {
    if (!alive.expired()) {
      m_log.info("zone={} {}: {}", _zone, _evacuated ? "evacuate" : "restore", base::errorName(_answer.code));
    }
    _done(_answer.code);
  });
}

}  // namespace driftlug::controller
