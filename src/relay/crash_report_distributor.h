/// Distributes reports of back-end crashes between nodes and relays.
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

/// Keeps the reported crashes, so that nodes that attach later or reconnect receive them before they serve.
///
/// Invariant: reports that are new to this relay are sent to the attached relays and nodes, and known ones to none, so
/// a report crosses each connection once.
class CrashReportDistributor {
 public:
  CrashReportDistributor(base::Network& network, const base::TimeSource& time, const NodeSessions& nodes,
                         membership::PeerLinks& peers);

  /// Handles an opened connection to another relay: sends it all known reports.
  void onPeerOpen(const wire::Hello& peer);

  void onPeerClose(const std::string& peerId) { peers_.erase(peerId); }

  /// Handles reports of a node: forwards the new ones to the other relays and to nodes.
  void onNodeReports(base::ConnectionId node, std::span<const wire::CrashReport> reports);

  /// Handles reports of another relay: forwards the new ones to nodes only, since that relay sends them to the others.
  void onPeerReports(std::span<const wire::CrashReport> reports);

  /// Sends a node the reports of services that it uses and whose reports it has not been sent yet.
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
  std::set<std::string> peers_;  // relays that support crash reports
};

}  // namespace driftlug::relay
