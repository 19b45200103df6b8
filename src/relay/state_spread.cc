#include "relay/state_spread.h"

#include <algorithm>

namespace driftlug::relay {
namespace {

/// A node's pass over its endpoints costs about a microsecond for each, so that with this pause between two of them it
/// spends less than a hundredth of its time on them, at any size up to the longest pause.
constexpr base::Duration kGatherPerEndpoint = base::microseconds(125);
/// Below this the messages saved are few.
constexpr base::Duration kLeastGather = base::milliseconds(20);
/// An endpoint refuses by itself what it can't take, and silence of its node is noticed in this time, so news may be
/// this old.
constexpr base::Duration kLongestGather = base::milliseconds(250);

}  // namespace

StateSpread::StateSpread(base::Scheduler& scheduler, base::Network& network,
                         const membership::EndpointDirectory& endpoints, const NodeSessions& nodes,
                         membership::PeerLinks& peers)
    : scheduler_(scheduler),
      network_(network),
      endpoints_(endpoints),
      nodes_(nodes),
      peers_(peers),
      timer_(scheduler, [this] { flush(); }) {}

void StateSpread::add(const std::vector<wire::EndpointState>& news, bool toPeers) {
  if (news.empty()) return;
  for (const auto& state : news) {
    waiting_[state.endpoint] = state;
    if (toPeers) forPeers_.insert(state.endpoint);
  }
  if (timer_.running()) return;
  const auto gather =
      std::min<base::Duration>(kLongestGather, kGatherPerEndpoint * static_cast<int64_t>(endpoints_.size()));
  const auto since = scheduler_.now() - flushedAt_;
  if (gather < kLeastGather || !flushedOnce_ || since >= gather) return flush();
  timer_.start(gather - since);
}

void StateSpread::flush() {
  flushedOnce_ = true;
  flushedAt_ = scheduler_.now();
  wire::EndpointStates own;
  for (const auto& endpoint : forPeers_) own.states.push_back(waiting_[endpoint]);
  if (!own.states.empty()) peers_.sendToAll(own);
  std::map<const CachedSlice*, Frames> bySlice;
  for (const auto& [connection, session] : nodes_.all()) {
    const auto [item, first] = bySlice.try_emplace(session.slice.get());
    if (first) {
      std::vector<wire::EndpointState> wanted;
      for (const auto& [endpoint, state] : waiting_) {
        if (wants(session, state)) wanted.push_back(state);
      }
      item->second = encode(std::move(wanted));
    }
    send(connection, session, item->second);
  }
  waiting_.clear();
  forPeers_.clear();
}

StateSpread::Frames StateSpread::encode(std::vector<wire::EndpointState> states) {
  if (states.empty()) return {};
  wire::EndpointStates message;
  message.states = std::move(states);
  const auto plain = wire::encodeFrame(message);
  return {plain, wire::packFrame(plain)};
}

void StateSpread::send(base::ConnectionId connection, const NodeSession& session, const Frames& frames) {
  if (frames.plain) network_.send(connection, session.takesPacked ? frames.packed : frames.plain);
}

void StateSpread::sendTo(base::ConnectionId connection, const NodeSession& session,
                         const std::vector<wire::EndpointState>& states) {
  send(connection, session, encode(states));
}

bool StateSpread::wants(const NodeSession& session, const wire::EndpointState& state) {
  const auto& slice = session.slice->slice();
  if (state.address.empty()) return slice.contains(table::makeKey(table::RowKind::ENDPOINT, state.endpoint));
  return slice.contains(table::makeKey(table::RowKind::SERVICE, state.serviceName));
}

}  // namespace driftlug::relay
