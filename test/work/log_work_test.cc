#include <catch2/catch.hpp>

#include "allocation_meter.h"
#include "consensus/raft.h"
#include "large_table.h"
#include "memory_disk.h"
#include "simulation/process.h"

namespace driftlug::test
{
namespace
{
constexpr size_t kRows = 2'000;

class no_transport : public consensus::RaftTransport
{
public:
	void sendTo(const std::string&, const wire::FramePtr&) override
	{
	}
};

/// Counts the rows that are applied in each iteration of the event loop.
class turn_counter : public consensus::RaftListener
{
public:
	explicit turn_counter(simulation::EventQueue& _queue)
		: m_queue(_queue)
	{
	}

	void apply(const wire::LogEntry& _entry) override
	{
		maxRowsPerApplyTurn[m_queue.executed()] += _entry.edit.mutations.size();
	}

	std::string takeSnapshot() override
	{
		return "";
	}

	void restore(const std::string&) override
	{
	}

	void onLeadership(consensus::RaftRole) override
	{
	}

	void onProgress() override
	{
	}

	std::map<uint64_t, size_t> maxRowsPerApplyTurn;  //!< By the number of the event.

private:
	simulation::EventQueue& m_queue;
};

/// A Raft member that follows a leader.
struct follower_fixture
{
	follower_fixture()
		: process(queue, "follower", {"zone", "region"}, {"10.0.0.1", 1})
		, store(disk)
		, listener(queue)
	{
		process.start();
		const auto state = store.open();
		REQUIRE(state.ok());
		raft = std::make_unique<consensus::Raft>("follower", consensus::RaftOptions{}, process, base::RandomSource(1),
												 store, transport, listener);
		raft->start(*state);
	}

	/// @returns An AppendRequest with _entries entries of kRows rows each.
	static wire::AppendRequest append(int64_t _entries, int64_t _commit)
	{
		large_table rows(1);
		wire::AppendRequest request;
		request.term = 1;
		request.leader = "leader";
		request.commitIndex = _commit;
		for (int64_t index = 1; index <= _entries; ++index)
		{
			rows.addRoutes(kRows);
			wire::LogEntry entry;
			entry.index = index;
			entry.term = 1;
			entry.kind = wire::EntryKind::EDIT;
			entry.__isset.edit = true;
			for (const auto& row : rows.change.changed)
			{
				wire::Mutation mutation;
				mutation.row = *row;
				entry.edit.mutations.push_back(mutation);
			}
			request.entries.push_back(entry);
		}
		return request;
	}

	void settle()
	{
		disk.finishSyncs();
		const auto until = queue.now() + base::milliseconds(1);
		while (queue.runNext(until))
		{
		}
	}

	simulation::EventQueue queue;
	simulation::Process process;
	MemoryDisk disk;
	storage::LogStore store;
	no_transport transport;
	turn_counter listener;
	std::unique_ptr<consensus::Raft> raft;
};

}  // namespace

TEST_CASE_METHOD(follower_fixture, "a follower takes the rows of an entry over without copying them")
{
	auto request = append(1, 0);
	wire::Message message = std::move(request);
	const auto start = currentAllocations().count;
	raft->onMessage("leader", std::move(message));
	CHECK(currentAllocations().count - start < kRows / 10);
	CHECK(raft->lastIndex() == 1);
}

TEST_CASE_METHOD(follower_fixture, "large entries that were committed together are applied in turns of the loop")
{
	constexpr int64_t kEntries = 5;
	raft->onMessage("leader", append(kEntries, kEntries));
	settle();
	CHECK(raft->appliedIndex() == kEntries);
	CHECK(listener.maxRowsPerApplyTurn.size() >= 2);
	for (const auto& [turn, rows] : listener.maxRowsPerApplyTurn)
	{
		CHECK(rows <= 2 * kRows);
	}
}

TEST_CASE_METHOD(follower_fixture, "the memory of a log is bounded when entries have many rows")
{
	constexpr int64_t kEntries = 16;
	raft->onMessage("leader", append(kEntries, kEntries));
	settle();
	REQUIRE(raft->appliedIndex() == kEntries);
	settle();  // Syncs the snapshot.
	CHECK(raft->firstIndex() > kEntries / 2);
}

}  // namespace driftlug::test
