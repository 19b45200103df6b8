/// A part of a body_budget, freed by its destructor.
#ifndef DRIFTLUG_MEMORY_BODY_RESERVATION_H_HEADER_GUARD
#define DRIFTLUG_MEMORY_BODY_RESERVATION_H_HEADER_GUARD

#include <cstdint>
#include <memory>

#include "memory/body_budget.h"

namespace driftlug::memory
{
/// Bytes that are reserved for one body. A default-constructed one holds nothing.
class body_reservation
{
public:
	body_reservation() = default;
	body_reservation(body_reservation&& _other) noexcept;
	body_reservation& operator=(body_reservation&& _other) noexcept;
	body_reservation(const body_reservation&) = delete;
	body_reservation& operator=(const body_reservation&) = delete;
	~body_reservation();

	/// Changes the number of reserved bytes.
	/// @returns Whether there was room; if not, nothing has changed.
	bool resize(int64_t _bytes);

	/// Frees the bytes.
	void release();

	/// @returns The number of reserved bytes.
	int64_t bytes() const
	{
		return m_bytes;
	}

private:
	friend class body_budget;
	body_reservation(std::shared_ptr<body_budget::state> _state, body_use _use, int64_t _bytes);

	std::shared_ptr<body_budget::state> m_state;
	body_use m_use = body_use::caller_request;
	int64_t m_bytes = 0;
};

}  // namespace driftlug::memory

#endif  // DRIFTLUG_MEMORY_BODY_RESERVATION_H_HEADER_GUARD
