/// Safety mechanisms that a simulation can disable to show that the checker detects their absence.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace driftlug::simulation {

/// Each mechanism protects at least one guarantee and is disabled through the options of the library.
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

/// Name and purpose of a mechanism.
struct MechanismInfo {
  Mechanism mechanism;
  std::string_view name;
  std::string_view purpose;
  std::string_view faults;  ///< fault classes that reveal its absence soonest, separated by commas; empty for all
};

/// @return all mechanisms.
const std::vector<MechanismInfo>& allMechanisms();

/// @return the mechanism of that name, or null.
const MechanismInfo* findMechanism(std::string_view name);

using MechanismSet = std::set<Mechanism>;

}  // namespace driftlug::simulation
