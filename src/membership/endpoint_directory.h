/// Endpoint states that are not part of the table: live, draining or gone.
///
/// The node of an endpoint announces its state; relays distribute it to each other and to the nodes that use the
/// service. It is a fast path: no log entry is involved, and a wrong or late report only moves traffic, it never makes
/// a call run twice.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::membership {

/// @return whether `candidate` replaces `current`: it has a later incarnation or sequence, or, if these are equal, the
/// condition further from LIVE.
bool supersedes(const wire::EndpointState& candidate, const wire::EndpointState& current);

/// The newest known state of each endpoint, and the node or relay that it was received from.
///
/// Invariant: an endpoint's (incarnation, sequence) never decreases.
class EndpointDirectory {
 public:
  /// The id of the node or relay that a state was received from.
  using Origin = std::string;

  /// Stores a state unless the directory holds a newer one or the same.
  /// @return whether the state was stored
  bool update(const wire::EndpointState& state, const Origin& origin);

  /// Marks all endpoints of an origin as gone after its lease has expired.
  /// @return the states that changed
  std::vector<wire::EndpointState> expire(const Origin& origin);

  /// @return the condition of an endpoint; LIVE if no state is known.
  wire::EndpointCondition::type conditionOf(const std::string& endpoint) const;

  /// Calls the visitor with each state.
  void visit(const std::function<void(const wire::EndpointState&)>& visitor) const;

  /// @return the number of endpoints known.
  size_t size() const { return entries_.size(); }

  /// @return services with an endpoint that announced its address.
  std::vector<std::string> announcedServices() const;

  /// @return the states of a service's endpoints.
  std::vector<wire::EndpointState> ofService(const std::string& service) const;

  /// @return the states received from an origin.
  std::vector<wire::EndpointState> ofOrigin(const Origin& origin) const;

 private:
  struct Entry {
    wire::EndpointState state;
    Origin origin;
  };

  std::map<std::string, Entry> entries_;                    // by endpoint
  std::map<std::string, std::set<std::string>> byService_;  // names of endpoints
  std::set<std::string> announced_;                         // services
};

}  // namespace driftlug::membership
