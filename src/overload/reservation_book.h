/// Capacity of one endpoint that is kept for refused requests until they return.
#ifndef DRIFTLUG_OVERLOAD_RESERVATION_BOOK_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_RESERVATION_BOOK_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"

namespace driftlug::overload
{
/// A time from which a returning request is expected to get a slot.
struct reservation
{
	int64_t id = 0;
	base::TimePoint at{};
};

/// What a reservation is wanted for.
struct reservation_demand
{
	int rank = 0;                //!< Order in which requests get slots; lower values go first.
	base::TimePoint freeAt{};    //!< When the requests ahead, queued or with a reservation, are expected to have slots.
	base::TimePoint latestAt{};  //!< Latest time at which the reservation is of use to its caller.
	base::Duration interval{0};  //!< Mean time between two slots becoming free.
	size_t limit = 0;            //!< Reservations that the endpoint may hold, this one included.
};

/// Cumulative counters of a book.
struct reservation_counters
{
	int64_t offered = 0;
	int64_t used = 0;
	int64_t expired = 0;
};

/// Reservations of one endpoint, in memory only.
///
/// Load pattern: a burst of a few seconds in which more requests arrive than the slots can run. Without reservations
/// the refused callers return together, and most are refused again.
///
/// Invariants: at most `limit` reservations are held; two of the same rank are at least `interval` apart; an id is
/// accepted once, and never by another run of the node.
class reservation_book
{
public:
	/// Time after which an unused reservation is given to others. Callers add their own delay of some 20 ms to
	/// Retry-After, and a slot that is kept longer than needed is a slot that others miss.
	static constexpr base::Duration kHold = base::milliseconds(100);
	/// How much earlier than its time a reservation may be used: delays of links and the rounding to milliseconds.
	static constexpr base::Duration kEarly = base::milliseconds(50);

	/// @param[in] _firstId Random number that identifies this run of the node, so that ids of an earlier run are
	/// unknown.
	reservation_book(const base::TimeSource& _time, uint64_t _firstId);

	/// Reserves the first time that the demand allows.
	///
	/// @returns Nothing if the book is full, or if no time is left free early enough.
	std::optional<reservation> offer(const reservation_demand& _demand);

	/// Ends a reservation since its request has returned.
	///
	/// @returns Whether the reservation holds now; false for one that is unknown, used, expired or not yet due.
	bool use(int64_t _id);

	/// @returns The number of reservations up to a time whose requests go ahead of a request of a rank.
	size_t ahead(int _rank, base::TimePoint _until);

	/// @returns The number of reservations that are held.
	size_t held();

	/// Forgets all reservations, for a back end that has gone.
	void clear();

	const reservation_counters& counters() const
	{
		return m_counters;
	}

private:
	struct entry
	{
		base::TimePoint at{};
		int rank = 0;
	};

	void expire();

	const base::TimeSource& m_time;
	int64_t m_nextId;
	std::map<int64_t, entry> m_entries;  //!< By id; few, see `limit`.
	reservation_counters m_counters;
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_RESERVATION_BOOK_H_HEADER_GUARD
