/// Check for whether a back end process is still running.
#ifndef DRIFTLUG_QUARANTINE_BACK_END_PRESENCE_H_HEADER_GUARD
#define DRIFTLUG_QUARANTINE_BACK_END_PRESENCE_H_HEADER_GUARD

#include <functional>

namespace driftlug::quarantine
{
/// Result of a connection attempt to a back end's address.
enum class presence
{
	listening,  //!< The connection was accepted.
	gone,       //!< The connection was refused: no process listens.
	unknown,    //!< There was no response in time.
};

/// Attempts a connection to the local back end of this node.
class back_end_presence
{
public:
	virtual ~back_end_presence() = default;

	/// Starts a check. The callback is called once, within a time limit of the implementation, and never from within
	/// this call.
	virtual void check(std::function<void(presence)> _done) = 0;
};

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_BACK_END_PRESENCE_H_HEADER_GUARD
