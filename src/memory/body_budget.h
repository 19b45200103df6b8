/// The bound of the memory that a process spends on message bodies.
#ifndef DRIFTLUG_MEMORY_BODY_BUDGET_H_HEADER_GUARD
#define DRIFTLUG_MEMORY_BODY_BUDGET_H_HEADER_GUARD

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace driftlug::memory
{
class body_reservation;

/// What a body is held for.
enum class body_use
{
	caller_request,    //!< A caller's request, at the node that took it, until its call ends.
	backend_request,   //!< A request at the node beside the back end, until the back end has taken it.
	backend_response,  //!< A response of the back end, until it is sent to the node of its caller.
	caller_response    //!< A response at the caller's node, until the caller has taken it.
};
constexpr size_t kBodyUses = 4;

/// @returns The name of a use, for metrics.
const char* nameOf(body_use _use);

/// Settings of a body_budget.
struct body_budget_options
{
	/// Bound of all bodies together. By default a body of 64 MiB and the reserve for small ones, which leaves 10 MiB
	/// for the rest of a node on a machine of 78 MiB.
	int64_t totalBytes = int64_t{68} << 20;
	/// Part of the total that only small bodies may use, so that they don't wait behind large ones.
	int64_t smallReserveBytes = int64_t{4} << 20;
	/// Maximum size of a small body.
	int64_t smallBodyBytes = int64_t{256} << 10;
};

/// Counters of a body_budget.
struct body_budget_counters
{
	int64_t refused = 0;    //!< Reservations that found no room; one that is tried again counts each time.
	int64_t reclaimed = 0;  //!< Bytes that the reclaimer freed.
};

/// Bounds the bytes of all message bodies that a process holds: requests and responses, of callers and of the back end.
///
/// Load pattern: the size limit of a message bounds one body, but a node has thousands of connections, and a few large
/// bodies at once are more than its memory.
///
/// Who finds no room decides what follows: a request is not read, or refused as not run; a response waits unread.
/// Bodies whose size is known are reserved whole before the first byte, so that no two of them hold each other up
/// halfway.
///
/// Invariant: the reserved bytes never exceed totalBytes, and those of large bodies not totalBytes less the reserve.
class body_budget
{
public:
	/// Frees bytes that are held only to save work later, until the given number is free or there are no more.
	using reclaimer = std::function<void(int64_t)>;

	explicit body_budget(const body_budget_options& _options = {});
	~body_budget();
	body_budget(const body_budget&) = delete;
	body_budget& operator=(const body_budget&) = delete;

	/// @returns A reservation, or nullopt if there is no room now.
	std::optional<body_reservation> reserve(body_use _use, int64_t _bytes);

	/// @returns Whether a body of this size may use the reserve; it is not to wait behind larger ones.
	bool isSmall(int64_t _bytes) const;

	/// @returns Whether a body of this size fits while no other is held.
	bool fitsAlone(int64_t _bytes) const;

	/// Sets what is called before a reservation fails; it must not reserve.
	void setReclaimer(reclaimer _reclaimer);

	/// @returns Bytes that are reserved for a use.
	int64_t heldBytes(body_use _use) const;

	/// @returns Bytes that are reserved now.
	int64_t heldBytes() const;

	/// @returns The most bytes that were ever reserved.
	int64_t peakBytes() const;

	const body_budget_options& options() const;
	const body_budget_counters& counters() const;

private:
	friend class body_reservation;
	struct state;

	std::shared_ptr<state> m_state;  //!< Shared with the reservations, which may outlive the budget.
};

}  // namespace driftlug::memory

#endif  // DRIFTLUG_MEMORY_BODY_BUDGET_H_HEADER_GUARD
