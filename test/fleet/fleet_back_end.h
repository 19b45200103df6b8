/// A back end on the virtual clock, as a node of a simulated fleet needs it.
#ifndef DRIFTLUG_TEST_FLEET_FLEET_BACK_END_H_HEADER_GUARD
#define DRIFTLUG_TEST_FLEET_FLEET_BACK_END_H_HEADER_GUARD

#include <functional>

#include "node/call_types.h"
#include "node/local_backend.h"

namespace driftlug::test
{
/// Runs requests, and tells its node of itself now and then.
class fleet_back_end : public node::BackendClient
{
public:
	/// Begins to tell of itself.
	virtual void heartbeat() = 0;

	/// @returns Whether something listens at its address.
	virtual bool up() const = 0;

	/// All connections are lost; it works on nothing more.
	virtual void dropConnections() = 0;

	std::function<void(const node::BackendReport&)> onReport;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_FLEET_FLEET_BACK_END_H_HEADER_GUARD
