/// Gathers response bodies that arrive in pieces, and bounds the memory that they take.
#ifndef DRIFTLUG_OVERLOAD_RESPONSE_GATHERER_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_RESPONSE_GATHERER_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace driftlug::overload
{
/// Settings of a response_gatherer.
struct response_gatherer_options
{
	/// Bytes that are gathered and credited in total, above which only the oldest response gets further credits. A node
	/// has 160 MB of memory.
	int64_t maxBytes = int64_t{8} << 20;
	/// Maximum credit of one response beyond what has arrived of it; most responses need one credit.
	int64_t windowBytes = int64_t{256} << 10;
	/// Larger responses don't count for maxBytes, and get credits whatever the total: whoever begins them bounds them
	/// in another way. Otherwise one of them would hold up all smaller ones.
	int64_t maxBoundedBytes = INT64_MAX;
};

/// Permission for the sender of a response to send it up to an offset.
struct response_credit
{
	int64_t response = 0;
	int64_t upToBytes = 0;  //!< Cumulative: all bytes before this offset may be sent.
};

/// What a piece did.
enum class piece_result
{
	incomplete,
	complete,  //!< The body is complete; takeBody() returns it.
	unknown,   //!< No such response is gathered; the piece was ignored.
	excess     //!< It goes beyond the announced size; the piece was ignored.
};

/// Collects the bodies, and decides on the credits of their senders.
///
/// Load pattern: a node gathers one response for each of its callers that waits, and callers may be many. Credits are
/// generous, so that they delay no response, until the total reaches the bound. Above it the oldest response alone gets
/// credits: it is completed and freed, so that responses don't hold each other up halfway.
///
/// Invariant: gathered and credited bytes of responses up to maxBoundedBytes exceed maxBytes by at most windowBytes.
class response_gatherer
{
public:
	explicit response_gatherer(const response_gatherer_options& _options = {});

	/// Begins to gather a response.
	///
	/// @param[in] _response Its id; ids ascend in the order in which requests were sent.
	/// @param[in] _bytes Announced size of the body, above 0.
	void begin(int64_t _response, int64_t _bytes);

	/// Adds the next piece of a body.
	piece_result onPiece(int64_t _response, std::string_view _data);

	/// Removes a complete response.
	/// @returns Its body.
	std::string takeBody(int64_t _response);

	/// Removes a response that is no longer waited for; unknown ones are ignored.
	void drop(int64_t _response);

	/// @returns New credits, in addition to those returned before.
	std::vector<response_credit> credits();

	/// @returns Whether a response is being gathered.
	bool gathers(int64_t _response) const
	{
		return 0 < m_responses.count(_response);
	}

	/// @returns Bytes of incomplete bodies that have arrived.
	int64_t gatheredBytes() const
	{
		return m_gatheredBytes;
	}

private:
	struct gathered
	{
		int64_t bytes = 0;
		int64_t credited = 0;
		std::string body;
	};

	bool isBounded(const gathered& _response) const
	{
		return _response.bytes <= m_options.maxBoundedBytes;
	}

	response_gatherer_options m_options;
	std::map<int64_t, gathered> m_responses;
	int64_t m_gatheredBytes = 0;
	int64_t m_creditedBytes = 0;  //!< Credited bytes of bounded responses, arrived or not.
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_RESPONSE_GATHERER_H_HEADER_GUARD
