#include "memory/body_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "memory/body_reservation.h"

namespace driftlug::memory
{
struct body_budget::state
{
	body_budget_options options;
	std::array<int64_t, kBodyUses> held{};
	int64_t heldByLarge = 0;  //!< Part of `held` that belongs to large bodies.
	int64_t peak = 0;
	body_budget_counters counters;
	reclaimer reclaim;  //!< May be empty.

	int64_t total() const
	{
		return std::accumulate(held.begin(), held.end(), int64_t{0});
	}

	/// @returns The bytes of a body that count against the bound of large ones.
	int64_t largeBytes(int64_t _bytes) const
	{
		return _bytes > options.smallBodyBytes ? _bytes : 0;
	}

	/// @returns By how many bytes a change of one body exceeds a bound; 0 or less if there is room.
	int64_t excess(int64_t _from, int64_t _to) const
	{
		const int64_t overTotal = total() + _to - _from - options.totalBytes;
		if (0 == largeBytes(_to))
		{
			return overTotal;
		}
		const int64_t large = heldByLarge + _to - largeBytes(_from);
		return std::max(overTotal, large - (options.totalBytes - options.smallReserveBytes));
	}

	/// Changes the bytes of one body, if there is room.
	bool change(body_use _use, int64_t _from, int64_t _to)
	{
		const bool grows = _to > _from;
		if (grows && 0 < excess(_from, _to) && reclaim)
		{
			const int64_t before = total();
			reclaim(excess(_from, _to));
			counters.reclaimed += before - total();
		}
		if (grows && 0 < excess(_from, _to))
		{
			++counters.refused;
			return false;
		}
		held[static_cast<size_t>(_use)] += _to - _from;
		heldByLarge += largeBytes(_to) - largeBytes(_from);
		peak = std::max(peak, total());
		return true;
	}
};

const char* nameOf(body_use _use)
{
	switch (_use)
	{
		case body_use::caller_request:
			return "caller_request";
		case body_use::backend_request:
			return "backend_request";
		case body_use::backend_response:
			return "backend_response";
		case body_use::caller_response:
			return "caller_response";
	}
	return "";
}

body_budget::body_budget(const body_budget_options& _options)
	: m_state(std::make_shared<state>())
{
	m_state->options = _options;
}

body_budget::~body_budget()
{
	m_state->reclaim = nullptr;
}

std::optional<body_reservation> body_budget::reserve(body_use _use, int64_t _bytes)
{
	if (!m_state->change(_use, 0, _bytes))
	{
		return std::nullopt;
	}
	return body_reservation(m_state, _use, _bytes);
}

bool body_budget::isSmall(int64_t _bytes) const
{
	return 0 == m_state->largeBytes(_bytes);
}

bool body_budget::fitsAlone(int64_t _bytes) const
{
	const auto& options = m_state->options;
	return _bytes <= options.totalBytes - (0 < m_state->largeBytes(_bytes) ? options.smallReserveBytes : 0);
}

void body_budget::setReclaimer(reclaimer _reclaimer)
{
	m_state->reclaim = std::move(_reclaimer);
}

int64_t body_budget::heldBytes(body_use _use) const
{
	return m_state->held[static_cast<size_t>(_use)];
}

int64_t body_budget::heldBytes() const
{
	return m_state->total();
}

int64_t body_budget::peakBytes() const
{
	return m_state->peak;
}

const body_budget_options& body_budget::options() const
{
	return m_state->options;
}

const body_budget_counters& body_budget::counters() const
{
	return m_state->counters;
}

body_reservation::body_reservation(std::shared_ptr<body_budget::state> _state, body_use _use, int64_t _bytes)
	: m_state(std::move(_state))
	, m_use(_use)
	, m_bytes(_bytes)
{
}

body_reservation::body_reservation(body_reservation&& _other) noexcept
	: m_state(std::move(_other.m_state))
	, m_use(_other.m_use)
	, m_bytes(std::exchange(_other.m_bytes, 0))
{
}

body_reservation& body_reservation::operator=(body_reservation&& _other) noexcept
{
	if (this != &_other)
	{
		release();
		m_state = std::move(_other.m_state);
		m_use = _other.m_use;
		m_bytes = std::exchange(_other.m_bytes, 0);
	}
	return *this;
}

body_reservation::~body_reservation()
{
	release();
}

bool body_reservation::resize(int64_t _bytes)
{
	if (!m_state)
	{
		return true;  // without a budget there is no bound
	}
	if (!m_state->change(m_use, m_bytes, _bytes))
	{
		return false;
	}
	m_bytes = _bytes;
	return true;
}

void body_reservation::release()
{
	if (m_state)
	{
		(void)m_state->change(m_use, m_bytes, 0);
	}
	m_bytes = 0;
	m_state.reset();
}

}  // namespace driftlug::memory
