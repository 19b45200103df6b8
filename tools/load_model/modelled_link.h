/// Models one direction of a machine's network link.
#ifndef DRIFTLUG_LOAD_MODEL_MODELLED_LINK_H_HEADER_GUARD
#define DRIFTLUG_LOAD_MODEL_MODELLED_LINK_H_HEADER_GUARD

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace driftlug::load_model
{
/// A FIFO link with a fixed bandwidth.
class modelled_link
{
public:
	explicit modelled_link(double _mbps)
		: m_bytesPerSecond(_mbps * 1e6 / 8)
	{
	}

	/// @returns The time at which bytes enqueued now have been transmitted.
	base::TimePoint transmit(size_t _bytes, base::TimePoint _now)
	{
		const auto seconds = static_cast<double>(_bytes) / m_bytesPerSecond;
		m_freeAt = std::max(m_freeAt, _now)
				   + std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
		m_bytes += static_cast<int64_t>(_bytes);
		m_maxDelay = std::max<base::Duration>(m_maxDelay, m_freeAt - _now);
		return m_freeAt;
	}

	int64_t bytes() const
	{
		return m_bytes;
	}

	/// @returns The longest queuing and transmission delay so far.
	base::Duration maxDelay() const
	{
		return m_maxDelay;
	}

private:
	double m_bytesPerSecond;
	base::TimePoint m_freeAt{};
	int64_t m_bytes = 0;
	base::Duration m_maxDelay{0};
};

}  // namespace driftlug::load_model

#endif  // DRIFTLUG_LOAD_MODEL_MODELLED_LINK_H_HEADER_GUARD
