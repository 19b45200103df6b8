#include "soak/link_fault.h"

namespace driftlug::soak
{
namespace
{
struct fault_name
{
	link_fault fault;
	std::string_view name;
};

constexpr fault_name kFaultNames[] = {
	{link_fault::none, "none"},
	{link_fault::delay, "delay"},
	{link_fault::silence, "silence"},
	{link_fault::silence_in, "silence_in"},
	{link_fault::silence_out, "silence_out"},
	{link_fault::reset, "reset"},
	{link_fault::throttle, "throttle"},
	{link_fault::mute, "mute"},
};

}  // namespace

std::string_view nameOf(link_fault _fault)
{
	for (const auto& entry : kFaultNames)
	{
		if (entry.fault == _fault)
		{
			return entry.name;
		}
	}
	return "unknown";
}

std::optional<link_fault> faultOf(std::string_view _name)
{
	for (const auto& entry : kFaultNames)
	{
		if (entry.name == _name)
		{
			return entry.fault;
		}
	}
	return std::nullopt;
}

}  // namespace driftlug::soak
