/// Safety mechanisms that a simulation can switch off, to prove that a checker notices.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace driftlug::simulation {

/// Each protects at least one guarantee; the library's options switch it off.
enum class Mechanism {
  kQuorumCommit,
  kSyncBeforeAcknowledge,
  kReleaseQuorum,
  kConfirmRestartedNodes,
  kNeverOlder,
  kDigest,
  kReferenceChecks,
  kEditRevisions,
  kResentEdits,
  kReportedLag,
};

/// What a mechanism is for.
struct MechanismInfo {
  Mechanism mechanism;
  std::string_view name;
  std::string_view purpose;
  std::string_view faults;  ///< classes under which its absence shows soonest; empty for all
};

/// @return all mechanisms.
const std::vector<MechanismInfo>& allMechanisms();

/// @return the mechanism of that name, or null.
const MechanismInfo* findMechanism(std::string_view name);

using MechanismSet = std::set<Mechanism>;

}  // namespace driftlug::simulation
