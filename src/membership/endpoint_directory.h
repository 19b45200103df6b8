/// What is known of endpoints beside the table: live, draining or gone.
///
/// The node beside an endpoint announces its state; relays spread it to each other and to the nodes that use
/// the service. It is a fast path: no log entry is involved, and a wrong or late report only moves traffic, it
/// never makes a call run twice.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::membership {

/// @return whether `candidate` replaces `current`: a later incarnation or sequence, or, at equal numbers, the
/// condition further from LIVE.
bool supersedes(const wire::EndpointState& candidate, const wire::EndpointState& current);

/// The newest known state of each endpoint, and which connection vouches for it.
///
/// Invariant: an endpoint's (incarnation, sequence) never decreases.
class EndpointDirectory {
 public:
  /// Where a state came from: the id of a node or relay.
  using Origin = std::string;

  /// Takes a state.
  /// @return whether it was news
  bool update(const wire::EndpointState& state, const Origin& origin);

  /// Marks everything that an origin vouched for as gone, after its lease ended.
  /// @return the states that changed
  std::vector<wire::EndpointState> expire(const Origin& origin);

  /// @return the condition of an endpoint; LIVE when nothing was heard.
  wire::EndpointCondition::type conditionOf(const std::string& endpoint) const;

  /// Shows all states to a visitor.
  void visit(const std::function<void(const wire::EndpointState&)>& visitor) const;

  /// @return the number of endpoints known.
  size_t size() const { return entries_.size(); }

  /// @return services of which an endpoint told where it is reached.
  std::vector<std::string> announcedServices() const;

  /// @return states of the endpoints of a service.
  std::vector<wire::EndpointState> ofService(const std::string& service) const;

  /// @return states that an origin vouches for.
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
