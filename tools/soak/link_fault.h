/// Faults that a fault proxy injects into the connections of a link.
#ifndef DRIFTLUG_SOAK_LINK_FAULT_H_HEADER_GUARD
#define DRIFTLUG_SOAK_LINK_FAULT_H_HEADER_GUARD

#include <optional>
#include <string_view>

namespace driftlug::soak
{
/// Fault of a link. A link has at most one at a time.
enum class link_fault
{
	none,         //!< Bytes are forwarded without delay.
	delay,        //!< Bytes are forwarded after a delay.
	silence,      //!< Nothing is forwarded, not even a close; held bytes follow after the fault.
	silence_in,   //!< As silence, only towards the server.
	silence_out,  //!< As silence, only towards the client.
	reset,        //!< Existing connections are closed; new ones are closed once accepted.
	throttle,     //!< Each direction of the link has a low bandwidth and a small buffer.
	mute,         //!< Connections open when it starts never forward anything again, not even a close; new ones do.
};

/// @returns The name of a fault in plans and control requests.
std::string_view nameOf(link_fault _fault);

/// @returns The fault with a name, or nothing if the name is unknown.
std::optional<link_fault> faultOf(std::string_view _name);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_LINK_FAULT_H_HEADER_GUARD
