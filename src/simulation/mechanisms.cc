#include "simulation/mechanisms.h"

namespace driftlug::simulation {

const std::vector<MechanismInfo>& allMechanisms() {
  static const std::vector<MechanismInfo> kAll = {
      {Mechanism::kQuorumCommit, "quorum-commit", "an edit is accepted only once a quorum of controllers holds it",
       "crash-controller,cut-controller"},
      {Mechanism::kSyncBeforeAcknowledge, "sync-before-acknowledge",
       "a controller acknowledges an entry only once it is synced", "control-outage,crash-controller"},
      {Mechanism::kReleaseQuorum, "release-quorum",
       "a relay hands a revision to nodes only once two members of the release group hold it", ""},
      {Mechanism::kConfirmRestartedNodes, "confirm-restarted-nodes",
       "a node without a table gets its first slice only once that is known to be the newest released", ""},
      {Mechanism::kNeverOlder, "never-older", "a node refuses, and a relay does not send, an older revision", ""},
      {Mechanism::kDigest, "digest", "a node refuses an update whose result does not match the controller's digest",
       ""},
      {Mechanism::kReferenceChecks, "reference-checks", "controllers and nodes refuse a table with dangling references",
       ""},
      {Mechanism::kEditRevisions, "edit-revisions", "an edit of a row that has changed since it was read is refused",
       ""},
      {Mechanism::kResentEdits, "resent-edits", "a resent edit gets its first outcome and has no second effect", ""},
      {Mechanism::kReportedLag, "reported-lag", "a change counts as in force only once each node has reported it", ""},
  };
  return kAll;
}

const MechanismInfo* findMechanism(std::string_view name) {
  for (const auto& info : allMechanisms()) {
    if (info.name == name) return &info;
  }
  return nullptr;
}

}  // namespace driftlug::simulation
