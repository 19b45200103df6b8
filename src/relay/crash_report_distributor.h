/// Carries reports of crashes of back ends between nodes and relays.
#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/network.h"
#include "membership/peer_links.h"
#include "quarantine/crash_history.h"
#include "relay/node_sessions.h"

namespace driftlug::relay {

/// Remembers what nodes report, so that those that come later, or come back, are told before they serve.
///
/// Invariant: what is news to this relay is told to the relays and nodes that are attached, and what is no news to
/// nobody, so a report crosses each connection once.
class CrashReportDistributor {
 public:
  CrashReportDistributor(base::Network& network, const base::TimeSource& time, const NodeSessions& nodes,
                         membership::PeerLinks& peers);

  /// A connection to another relay is up.
  void onPeerOpen(const wire::Hello& peer);

  void onPeerClose(const std::string& peerId) { peers_.erase(peerId); }

  /// A node reports.
  void onNodeReports(base::ConnectionId node, std::span<const wire::CrashReport> reports);

  /// Another relay reports; it tells the others itself.
  void onPeerReports(std::span<const wire::CrashReport> reports);

  /// Tells a node of crashes of services that it uses and was not told of yet.
  void sendUnsent(base::ConnectionId connection, NodeSession* session) const;

  const quarantine::crash_history& history() const { return history_; }

 private:
  using Reports = quarantine::crash_history::reports;

  void sendToPeer(const std::string& peerId, const Reports& reports);
  void sendToNodes(const Reports& newReports, base::ConnectionId except);

  base::Network& network_;
  const NodeSessions& nodes_;
  membership::PeerLinks& peerLinks_;
  quarantine::crash_history history_;
  std::set<std::string> peers_;  // those that understand crash reports
};

}  // namespace driftlug::relay
