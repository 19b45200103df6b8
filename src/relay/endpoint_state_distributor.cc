#include "relay/endpoint_state_distributor.h"

#include <algorithm>

namespace driftlug::relay {
namespace {

/// A node's pass over its endpoints takes about 1 us per endpoint. With this delay per endpoint between two passes, it
/// spends less than 1 % of its time on them, for any number of endpoints up to where kMaxBatchDelay applies.
constexpr base::Duration kBatchDelayPerEndpoint = base::microseconds(125);
/// Below this delay, batching saves few messages.
constexpr base::Duration kMinBatchDelay = base::milliseconds(20);
/// A state that is delayed this long does no harm: an endpoint itself refuses calls that it cannot take, and the
/// silence of its node is detected within this time.
constexpr base::Duration kMaxBatchDelay = base::milliseconds(250);

}  // namespace

EndpointStateDistributor::EndpointStateDistributor(base::Scheduler& scheduler, base::Network& network,
                                                   const membership::EndpointDirectory& endpoints,
                                                   const NodeSessions& nodes, membership::PeerLinks& peers)
    : scheduler_(scheduler),
      network_(network),
      endpoints_(endpoints),
      nodes_(nodes),
      peers_(peers),
      timer_(scheduler, [this] { flush(); }) {}

void EndpointStateDistributor::add(const std::vector<wire::EndpointState>& changedStates, bool toPeers) {
  if (changedStates.empty()) return;
  for (const auto& state : changedStates) {
    pending_[state.endpoint] = state;
    if (toPeers) pendingForPeers_.insert(state.endpoint);
  }
  if (timer_.running()) return;
  const auto batchDelay =
      std::min<base::Duration>(kMaxBatchDelay, kBatchDelayPerEndpoint * static_cast<int64_t>(endpoints_.size()));
  const auto sinceFlush = scheduler_.now() - flushedAt_;
  if (batchDelay < kMinBatchDelay || !hasFlushed_ || sinceFlush >= batchDelay) return flush();
  timer_.start(batchDelay - sinceFlush);
}

void EndpointStateDistributor::flush() {
  hasFlushed_ = true;
  flushedAt_ = scheduler_.now();
  wire::EndpointStates own;
  for (const auto& endpoint : pendingForPeers_) own.states.push_back(pending_[endpoint]);
  if (!own.states.empty()) peers_.sendToAll(own);
  std::map<const CachedSlice*, Frames> bySlice;
  for (const auto& [connection, session] : nodes_.all()) {
    const auto [item, first] = bySlice.try_emplace(session.slice.get());
    if (first) {
      std::vector<wire::EndpointState> relevant;
      for (const auto& [endpoint, state] : pending_) {
        if (isRelevant(session, state)) relevant.push_back(state);
      }
      item->second = encode(std::move(relevant));
    }
    send(connection, session, item->second);
  }
  pending_.clear();
  pendingForPeers_.clear();
}

EndpointStateDistributor::Frames EndpointStateDistributor::encode(std::vector<wire::EndpointState> states) {
  if (states.empty()) return {};
  wire::EndpointStates message;
  message.states = std::move(states);
  const auto plain = wire::encodeFrame(message);
  return {plain, wire::packFrame(plain)};
}

void EndpointStateDistributor::send(base::ConnectionId connection, const NodeSession& session, const Frames& frames) {
  if (frames.plain) network_.send(connection, session.takesPacked ? frames.packed : frames.plain);
}

void EndpointStateDistributor::sendTo(base::ConnectionId connection, const NodeSession& session,
                                      const std::vector<wire::EndpointState>& states) {
  send(connection, session, encode(states));
}

bool EndpointStateDistributor::isRelevant(const NodeSession& session, const wire::EndpointState& state) {
  const auto& slice = session.slice->slice();
  if (state.address.empty()) return slice.contains(table::makeKey(table::RowKind::ENDPOINT, state.endpoint));
  return slice.contains(table::makeKey(table::RowKind::SERVICE, state.serviceName));
}

}  // namespace driftlug::relay
