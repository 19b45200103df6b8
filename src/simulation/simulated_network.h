/// TCP between simulated processes: latency, loss as delay, cuts in one or both directions, resets.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/network.h"
#include "base/random.h"
#include "simulation/process.h"
#include "simulation/traffic.h"

namespace driftlug::simulation {

/// Times of the network.
struct NetworkOptions {
  base::Duration sameZone = base::microseconds(50);        ///< one way, between processes of a zone
  base::Duration betweenZones = base::microseconds(1000);  ///< one way
  base::Duration betweenRegions = base::milliseconds(30);  ///< one way
  double jitter = 0.05;                                    ///< share of the latency, drawn for each frame
  base::Duration retransmit = base::milliseconds(200);     ///< delay of a frame that was lost once
  base::Duration connectTimeout = base::seconds(2);
  bool hashFrames = true;  ///< whether the trace hash covers the bytes of frames
};

class ProcessNetwork;

/// Carries frames between processes.
///
/// Invariants: frames of one direction of a connection arrive whole, in order and at most once, or the
/// connection closes; nothing sent across a cut arrives while it stands.
class SimulatedNetwork {
 public:
  SimulatedNetwork(EventQueue& queue, base::RandomSource random, NetworkOptions options)
      : queue_(queue), random_(random), options_(options) {}

  /// Makes a process reachable under its address.
  void listen(ProcessNetwork* network);

  /// Ends all connections of a process that died.
  /// @param silent whether its peers get no reset, as when the machine is gone
  void onProcessExit(ProcessNetwork* network, bool silent);

  /// Cuts or heals the way from one process to another.
  void setCut(const std::string& from, const std::string& to, bool cut);

  /// Cuts a whole region off from all others, or heals that.
  void setRegionCut(const std::string& region, bool cut);

  /// @return whether frames from one process can't reach another.
  bool isCut(const Process& from, const Process& to) const;

  /// Loses a share of frames; each costs a retransmission.
  void setLoss(double share) { loss_ = share; }

  /// Multiplies all latencies.
  void setLatencyFactor(double factor) { latencyFactor_ = factor; }

  /// @return the latency from one place to another, drawn with jitter.
  base::Duration latency(const Placement& from, const Placement& to);

  /// @return hash over everything that was delivered.
  uint64_t traceHash() const { return traceHash_; }

  /// Mixes a fact into the trace hash.
  void mixTrace(uint64_t value);

  const Traffic& traffic() const { return traffic_; }

 private:
  friend class ProcessNetwork;

  enum class EventKind { kOpen, kFrame, kClose };

  struct InTransit {
    EventKind kind;
    wire::FramePtr frame;
    wire::Hello hello;
  };

  /// One side of a connection.
  struct Side {
    const Process* process = nullptr;   // null while the callee is not reached yet
    ProcessNetwork* network = nullptr;  // null once the process closed its end, or died
    uint64_t incarnation = 0;
    base::ConnectionId id = 0;
    base::Address address;          // where it listens; unset on the calling side
    bool closed = false;            // this side closed or was told of the close
    base::TimePoint lastArrival{};  // of what travels to this side
    std::deque<InTransit> held;     // waits for a cut to heal
    size_t queued = 0;              // bytes under way to this side
  };

  struct Connection {
    Side sides[2];
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void deliver(const ConnectionPtr& connection, int toSide, InTransit item);
  void arrive(const ConnectionPtr& connection, int toSide, const InTransit& item);
  void closeFrom(const ConnectionPtr& connection, int side);
  bool cutBetween(const Connection& connection, int toSide) const;
  void completeConnect(const ConnectionPtr& connection, const base::Address& address);
  void releaseHeldFrames();

  EventQueue& queue_;
  base::RandomSource random_;
  NetworkOptions options_;
  std::map<base::Address, ProcessNetwork*> listeners_;
  std::set<std::pair<std::string, std::string>> cuts_;  // (from, to)
  std::set<std::string> cutRegions_;
  std::vector<std::weak_ptr<Connection>> connections_;  // swept now and then
  size_t sweepAt_ = 1024;
  double loss_ = 0;
  double latencyFactor_ = 1;
  uint64_t traceHash_ = 0;
  Traffic traffic_;
};

/// The network as one incarnation of a process sees it.
class ProcessNetwork : public base::Network {
 public:
  ProcessNetwork(SimulatedNetwork& network, Process& process) : network_(network), process_(process) {}
  ~ProcessNetwork() override;

  /// Sets who receives events; called once, before the first of them.
  void setHandler(base::ConnectionHandler* handler) { handler_ = handler; }

  // base::Network
  void setHello(const wire::Hello& hello) override { hello_ = hello; }
  base::ConnectionId connect(const base::Address& address) override;
  void send(base::ConnectionId connection, const wire::FramePtr& frame) override;
  void close(base::ConnectionId connection) override;
  size_t queuedBytes(base::ConnectionId connection) const override;

  /// Closes every connection, as when the process loses its sockets.
  void resetAll();

  Process& process() { return process_; }
  const Traffic& sent() const { return sent_; }

 private:
  friend class SimulatedNetwork;

  void transmit(base::ConnectionId connection, const wire::FramePtr& frame);

  struct End {
    SimulatedNetwork::ConnectionPtr connection;
    int side;
  };

  SimulatedNetwork& network_;
  Process& process_;
  base::ConnectionHandler* handler_ = nullptr;
  wire::Hello hello_;
  base::ConnectionId nextId_ = 1;
  std::map<base::ConnectionId, End> ends_;
  Traffic sent_;
  bool listening_ = false;
};

}  // namespace driftlug::simulation
