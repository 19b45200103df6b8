/// TCP between simulated processes: latency, loss as delay, partitions in one or both directions, resets.
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

/// Latencies and timeouts of the network.
struct NetworkOptions {
  base::Duration sameZone = base::microseconds(50);        ///< one way, between processes of a zone
  base::Duration betweenZones = base::microseconds(1000);  ///< one way
  base::Duration betweenRegions = base::milliseconds(30);  ///< one way
  double jitter = 0.05;                                    ///< share of the latency, drawn for each frame
  base::Duration retransmit = base::milliseconds(200);     ///< additional delay of a lost frame
  base::Duration connectTimeout = base::seconds(2);
  bool hashFrames = true;  ///< whether the trace hash covers the bytes of frames
};

class ProcessNetwork;

/// Carries frames between processes.
///
/// Invariants: frames of one direction of a connection arrive whole, in order and at most once, or the connection
/// closes; nothing sent across a partition arrives before it heals.
class SimulatedNetwork {
 public:
  SimulatedNetwork(EventQueue& queue, base::RandomSource random, NetworkOptions options)
      : queue_(queue), random_(random), options_(options) {}

  /// Makes a process reachable under its address.
  void listen(ProcessNetwork* network);

  /// Closes all connections of a process that has exited.
  /// @param silent whether its peers receive no reset, as after a power loss
  void onProcessExit(ProcessNetwork* network, bool silent);

  /// Blocks or unblocks frames from one process to another.
  void setCut(const std::string& from, const std::string& to, bool cut);

  /// Partitions a region from all others, or heals the partition.
  void setRegionCut(const std::string& region, bool cut);

  /// @return whether frames from one process can't reach another.
  bool isCut(const Process& from, const Process& to) const;

  /// Sets the share of frames that are lost; a lost frame arrives after a retransmission.
  void setLoss(double share) { loss_ = share; }

  /// Sets the factor by which all latencies are multiplied.
  void setLatencyFactor(double factor) { latencyFactor_ = factor; }

  /// @return the latency from one place to another, with random jitter.
  base::Duration latency(const Placement& from, const Placement& to);

  /// @return the hash of all delivered events.
  uint64_t traceHash() const { return traceHash_; }

  /// Mixes a value into the trace hash.
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
    const Process* process = nullptr;   // null on the called side until it is reached
    ProcessNetwork* network = nullptr;  // null once the process has closed its end or exited
    uint64_t incarnation = 0;
    base::ConnectionId id = 0;
    base::Address address;          // where it listens; unset on the calling side
    bool closed = false;            // this side has closed or received the close
    base::TimePoint lastArrival{};  // of the data in flight to this side
    std::deque<InTransit> held;     // held until the partition heals
    size_t queued = 0;              // bytes in flight to this side
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
  std::vector<std::weak_ptr<Connection>> connections_;  // expired entries are removed once there are sweepAt_ entries
  size_t sweepAt_ = 1024;
  double loss_ = 0;
  double latencyFactor_ = 1;
  uint64_t traceHash_ = 0;
  Traffic traffic_;
};

/// The network interface of one incarnation of a process.
class ProcessNetwork : public base::Network {
 public:
  ProcessNetwork(SimulatedNetwork& network, Process& process) : network_(network), process_(process) {}
  ~ProcessNetwork() override;

  /// Sets the handler of connection events; called once, before the first event.
  void setHandler(base::ConnectionHandler* handler) { handler_ = handler; }

  // base::Network
  void setHello(const wire::Hello& hello) override { hello_ = hello; }
  base::ConnectionId connect(const base::Address& address) override;
  void send(base::ConnectionId connection, const wire::FramePtr& frame) override;
  void close(base::ConnectionId connection) override;
  size_t queuedBytes(base::ConnectionId connection) const override;

  /// Resets every connection, as if the process had lost its sockets.
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
