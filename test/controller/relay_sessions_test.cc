#include "controller/relay_sessions.h"

#include <catch2/catch.hpp>

namespace driftlug::controller {
namespace {

/// Records the frames that are sent.
class RecordingNetwork : public base::Network {
 public:
  void setHello(const wire::Hello&) override {}
  base::ConnectionId connect(const base::Address&) override { return 0; }
  void send(base::ConnectionId, const wire::FramePtr& frame) override { frames.push_back(frame); }
  void close(base::ConnectionId) override {}
  size_t queuedBytes(base::ConnectionId) const override { return 0; }
  std::vector<wire::FramePtr> frames;
};

void putNote(table::Table* table, const std::string& name, int64_t revision) {
  wire::Row row;
  row.key = table::makeKey(wire::RowKind::NOTE, name);
  row.revision = revision;
  row.__isset.noteRow = true;
  row.noteRow.text = "text";
  table->put(table::storeRow(std::move(row)));
}

}  // namespace

TEST_CASE("relays that come back together are sent one and the same frame") {
  RecordingNetwork network;
  RelaySessions sessions(network);
  table::Table table;
  putNote(&table, "first", 1);
  putNote(&table, "second", 2);
  for (base::ConnectionId relay = 1; relay <= 10; ++relay) sessions.subscribe(relay, "relay", {}, table);
  REQUIRE(network.frames.size() == 10);
  for (const auto& frame : network.frames) CHECK(frame == network.frames.front());

  putNote(&table, "third", 3);
  sessions.subscribe(11, "relay", {}, table);
  REQUIRE(network.frames.size() == 11);
  CHECK(network.frames.back() != network.frames.front());
  CHECK(network.frames.back()->size() > network.frames.front()->size());
}

TEST_CASE("a cached frame is released with the next heartbeat") {
  RecordingNetwork network;
  RelaySessions sessions(network);
  table::Table table;
  putNote(&table, "first", 1);
  sessions.subscribe(1, "relay", {}, table);
  const std::weak_ptr<const std::string> kept = network.frames.front();
  network.frames.clear();
  CHECK(!kept.expired());
  sessions.heartbeat(1, {});
  network.frames.clear();
  CHECK(kept.expired());
}

}  // namespace driftlug::controller
