/// Relays that read from this controller: what each was sent, and pushes of new revisions.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/network.h"
#include "base/time.h"
#include "table/table.h"

namespace driftlug::controller {

/// Counters of the bytes and messages sent to relays.
struct RelaySessionCounters {
  int64_t updates = 0;
  int64_t updateBytes = 0;
  int64_t fullUpdates = 0;
  int64_t heartbeats = 0;
  int64_t heartbeatBytes = 0;
};

/// Sends each subscribed relay the rows it lacks; equal updates are encoded once.
///
/// Invariant: a relay is sent only committed rows, and each revision range once per connection.
class RelaySessions {
 public:
  explicit RelaySessions(base::Network& network) : network_(network) {}

  /// A relay's connection opened.
  void open(base::ConnectionId connection, const std::string& relayId);

  /// A relay subscribed from a revision; it is brought up to date at once.
  void subscribe(base::ConnectionId connection, const std::string& relayId, const wire::RelaySubscribe& request,
                 const table::Table& table);

  /// Forgets a connection.
  /// @return the relay's id, or empty when none was subscribed there
  std::string remove(base::ConnectionId connection);

  /// Ends all subscriptions, after leadership was lost.
  void endSubscriptions(const std::string& leaderId);

  /// Notes that a relay is alive.
  void recordActivity(base::ConnectionId connection, base::TimePoint now);

  /// @return subscribed relays that were not heard since then.
  std::vector<base::ConnectionId> connectionsInactiveSince(base::TimePoint then) const;

  /// Sends rows changed since each relay's last update.
  void push(const table::Table& table);

  /// Sends the revision and freshness to one relay.
  void heartbeatTo(base::ConnectionId connection, int64_t revision, const wire::Freshness& freshness);

  /// Sends the revision and freshness to all relays.
  void heartbeat(int64_t revision, const wire::Freshness& freshness);

  /// @return the id of the relay subscribed on a connection, or empty.
  std::string relayIdOf(base::ConnectionId connection) const;

  size_t size() const { return sessions_.size(); }
  const RelaySessionCounters& counters() const { return counters_; }

  /// Sends the whole table with each update instead of a delta; a baseline for experiments.
  void setFullPush(bool enabled) { fullPush_ = enabled; }

 private:
  struct Session {
    std::string relayId;
    bool subscribed = false;
    bool receivesUpdates = true;
    int64_t sentRevision = 0;
    base::TimePoint lastActivity{};
  };

  /// @return the update from a revision to the table's, encoded at most once between two heartbeats.
  wire::FramePtr cachedUpdate(int64_t fromRevision, const table::Table& table);
  wire::FramePtr encodeUpdate(const table::Table& table, int64_t fromRevision) const;
  void sendUpdate(base::ConnectionId connection, Session* session, const wire::FramePtr& frame,
                  const table::Table& table);

  base::Network& network_;
  std::map<base::ConnectionId, Session> sessions_;
  // Updates to encodedUpdatesRevision_ by the revision they begin at. When all relays come back at once, encoding the
  // whole table for each would keep a small leader from its heartbeats until it is voted out.
  std::map<int64_t, wire::FramePtr> encodedUpdates_;
  int64_t encodedUpdatesRevision_ = 0;
  RelaySessionCounters counters_;
  bool fullPush_ = false;
};

}  // namespace driftlug::controller
