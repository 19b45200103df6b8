/// Orders to empty a zone, and to take it back.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/log.h"

namespace driftlug::controller {
class Controller;

/// Writes the rows of evacuated zones: while a zone's row stands, its back ends take no requests.
///
/// Invariants: an order is answered as accepted only when the table holds what it asks for, durably on a quorum; one
/// that is sent again changes nothing.
class Evacuations {
 public:
  /// Called with kNone, kInvalidEdit for what can't be a zone, kNotLeader, kNotAccepted or kOutcomeUnknown.
  using Callback = std::function<void(base::ErrorCode)>;

  explicit Evacuations(Controller& controller);

  /// Empties a zone.
  void evacuate(const std::string& zone, Callback done);

  /// Takes a zone back.
  void restore(const std::string& zone, Callback done);

  /// @return The zones that are empty by order.
  std::vector<std::string> zones() const;

 private:
  void order(const std::string& zone, bool evacuated, const Callback& done);
  void submit(const std::string& zone, bool evacuated, const Callback& done);

  Controller& controller_;
  base::Logger log_{"evacuation"};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::controller
