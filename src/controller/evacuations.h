/// Orders to empty a zone, and to take it back.
#ifndef DRIFTLUG_CONTROLLER_EVACUATIONS_H_HEADER_GUARD
#define DRIFTLUG_CONTROLLER_EVACUATIONS_H_HEADER_GUARD

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
class evacuations {
 public:
  /// Called with kNone, kInvalidEdit for what can't be a zone, kNotLeader, kNotAccepted or kOutcomeUnknown.
  using callback = std::function<void(base::ErrorCode)>;

  explicit evacuations(Controller& _controller);

  /// Empties a zone.
  void evacuate(const std::string& _zone, callback _done);

  /// Takes a zone back.
  void restore(const std::string& _zone, callback _done);

  /// @returns The zones that are empty by order.
  std::vector<std::string> zones() const;

 private:
  void order(const std::string& _zone, bool _evacuated, const callback& _done);
  void submit(const std::string& _zone, bool _evacuated, const callback& _done);

  Controller& m_controller;
  base::Logger m_log{"evacuation"};
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace driftlug::controller

#endif  // DRIFTLUG_CONTROLLER_EVACUATIONS_H_HEADER_GUARD
