/// Evacuation of zones and their restoration.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/log.h"

namespace driftlug::controller {
class Controller;

/// Writes the rows of evacuated zones: while a zone's row exists, its back ends receive no requests.
///
/// Invariants: a request is reported as accepted only when its effect is durable on a quorum; a repeated request
/// changes nothing.
class Evacuations {
 public:
  /// Receives kNone, kInvalidEdit for an invalid zone name, kNotLeader, kNotAccepted or kOutcomeUnknown.
  using Callback = std::function<void(base::ErrorCode)>;

  explicit Evacuations(Controller& controller);

  /// Evacuates a zone.
  void evacuate(const std::string& zone, Callback done);

  /// Restores an evacuated zone.
  void restore(const std::string& zone, Callback done);

  /// @return the evacuated zones.
  std::vector<std::string> zones() const;

 private:
  void setEvacuated(const std::string& zone, bool evacuated, const Callback& done);
  void submit(const std::string& zone, bool evacuated, const Callback& done);

  Controller& controller_;
  base::Logger log_{"evacuation"};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::controller
