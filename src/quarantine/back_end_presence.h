/// Tells whether a back end is still there.
#ifndef DRIFTLUG_QUARANTINE_BACK_END_PRESENCE_H_HEADER_GUARD
#define DRIFTLUG_QUARANTINE_BACK_END_PRESENCE_H_HEADER_GUARD

#include <functional>

namespace driftlug::quarantine
{
/// What was found at a back end's address.
enum class presence
{
	listening,  //!< A connection was taken.
	gone,       //!< It was refused: no process listens.
	unknown,    //!< Nothing was heard in time.
};

/// Asks for a connection to the back end beside this node.
class back_end_presence
{
public:
	virtual ~back_end_presence() = default;

	/// The callback is called once, within a bound of the implementation's, never from within this call.
	virtual void check(std::function<void(presence)> _done) = 0;
};

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_BACK_END_PRESENCE_H_HEADER_GUARD
