/// The bytes of a message body, shared without copies.
#ifndef DRIFTLUG_MEMORY_SHARED_BODY_H_HEADER_GUARD
#define DRIFTLUG_MEMORY_SHARED_BODY_H_HEADER_GUARD

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "memory/body_reservation.h"

namespace driftlug::memory
{
/// Immutable bytes and the reservation that they are held under. Copies refer to the same bytes; the reservation is
/// freed with the last one.
class shared_body
{
public:
	shared_body() = default;

	/// Takes over bytes. Implicit, since code that has no budget passes plain strings.
	shared_body(std::string _bytes, body_reservation _reservation = {})
	{
		if (!_bytes.empty())
		{
			m_content = std::make_shared<content>(std::move(_bytes), std::move(_reservation));
		}
	}

	/// Copies bytes.
	shared_body(const char* _text)
		: shared_body(std::string(_text))
	{
	}

	std::string_view view() const
	{
		return m_content ? std::string_view(m_content->bytes) : std::string_view();
	}

	size_t size() const
	{
		return view().size();
	}

	bool empty() const
	{
		return view().empty();
	}

	bool operator==(std::string_view _bytes) const
	{
		return view() == _bytes;
	}

	/// @returns The bytes without a copy, if no other body refers to them; then this one is empty.
	std::string take()
	{
		std::string bytes = m_content && 1 == m_content.use_count() ? std::move(m_content->bytes) : std::string(view());
		m_content.reset();
		return bytes;
	}

private:
	struct content
	{
		content(std::string _bytes, body_reservation _reservation)
			: bytes(std::move(_bytes))
			, reservation(std::move(_reservation))
		{
		}

		std::string bytes;
		body_reservation reservation;
	};

	std::shared_ptr<content> m_content;  //!< Null if there are no bytes.
};

}  // namespace driftlug::memory

#endif  // DRIFTLUG_MEMORY_SHARED_BODY_H_HEADER_GUARD
