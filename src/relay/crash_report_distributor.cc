#include "relay/crash_report_distributor.h"

#include "table/table.h"

namespace driftlug::relay {
namespace {

wire::FramePtr frameOf(std::vector<wire::CrashReport> reports) {
  wire::CrashReports message;
  message.reports = std::move(reports);
  return wire::encodeFrame(message);
}

bool uses(const NodeSession& session, const std::string& service) {
  return session.slice->slice().contains(table::makeKey(table::RowKind::SERVICE, service));
}

}  // namespace

CrashReportDistributor::CrashReportDistributor(base::Network& network, const base::TimeSource& time,
                                               const NodeSessions& nodes, membership::PeerLinks& peers)
    : network_(network), nodes_(nodes), peerLinks_(peers), history_(time) {}

void CrashReportDistributor::onPeerOpen(const wire::Hello& peer) {
  if (!peer.takesCrashReports) return;
  peers_.insert(peer.id);
  sendToPeer(peer.id, history_.all());
}

void CrashReportDistributor::sendToPeer(const std::string& peerId, const Reports& reports) {
  if (!reports.empty()) peerLinks_.sendTo(peerId, frameOf(reports));
}

void CrashReportDistributor::onNodeReports(base::ConnectionId node, std::span<const wire::CrashReport> reports) {
  const auto newReports = history_.merge(reports);
  for (const auto& peerId : peers_) sendToPeer(peerId, newReports);
  sendToNodes(newReports, node);
}

void CrashReportDistributor::onPeerReports(std::span<const wire::CrashReport> reports) {
  constexpr base::ConnectionId kNone = 0;
  sendToNodes(history_.merge(reports), kNone);
}

void CrashReportDistributor::sendToNodes(const Reports& newReports, base::ConnectionId except) {
  std::map<std::string, Reports> byService;
  for (const auto& report : newReports) byService[report.serviceName].push_back(report);
  for (const auto& [service, ofService] : byService) {
    const auto frame = frameOf(ofService);
    for (const auto& [connection, session] : nodes_.all()) {
      const bool wanted = connection != except && session.takesCrashReports && uses(session, service);
      if (wanted) network_.send(connection, frame);
    }
  }
}

void CrashReportDistributor::sendUnsent(base::ConnectionId connection, NodeSession* session) const {
  if (!session->takesCrashReports) return;
  std::set<std::string> sentServices;
  const auto reports = history_.all([&](const std::string& service) {
    if (session->crashNotifiedServices.count(service) > 0 || !uses(*session, service)) return false;
    sentServices.insert(service);
    return true;
  });
  if (reports.empty()) return;
  session->crashNotifiedServices.merge(sentServices);
  network_.send(connection, frameOf(reports));
}

}  // namespace driftlug::relay
