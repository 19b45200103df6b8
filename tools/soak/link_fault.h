/// What a fault proxy does to the connections of one link.
#ifndef DRIFTLUG_SOAK_LINK_FAULT_H_HEADER_GUARD
#define DRIFTLUG_SOAK_LINK_FAULT_H_HEADER_GUARD

#include <optional>
#include <string_view>

namespace driftlug::soak
{
/// State of a link.
enum class link_fault
{
	none,         //!< Bytes pass.
	delay,        //!< Bytes pass later.
	silence,      //!< Nothing passes, not even an end; held bytes follow once the fault is over.
	silence_in,   //!< As silence, towards the server only.
	silence_out,  //!< As silence, towards the client only.
	reset,        //!< Connections are closed, new ones as soon as they are opened.
	throttle,     //!< Each direction of a connection carries few bytes a second, and little of them waits on the way.
	mute,         //!< Connections open when it begins carry nothing ever again, not even an end; new ones do.
};

/// Name of a fault, as in plans and requests.
std::string_view nameOf(link_fault _fault);

/// @returns The fault of that name, nothing when there is none.
std::optional<link_fault> faultOf(std::string_view _name);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_LINK_FAULT_H_HEADER_GUARD
