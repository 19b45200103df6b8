/// Interface of a simulated back end for a node of a simulated fleet.
#ifndef DRIFTLUG_TEST_FLEET_FLEET_BACK_END_H_HEADER_GUARD
#define DRIFTLUG_TEST_FLEET_FLEET_BACK_END_H_HEADER_GUARD

#include <functional>

#include "node/call_types.h"
#include "node/local_backend.h"

namespace driftlug::test
{
/// Headers in which back ends name a rate limit and say that they are shutting down.
constexpr char kRateLimitHeader[] = "rate-limit";
constexpr char kLeavingHeader[] = "leaving";

/// Runs requests, and reports its state to its node periodically.
class fleet_back_end : public node::BackendClient
{
public:
	/// Starts the periodic reports.
	virtual void heartbeat() = 0;

	/// @returns Whether it accepts connections.
	virtual bool up() const = 0;

	/// Drops all connections and the requests in progress.
	virtual void dropConnections() = 0;

	std::function<void(const node::BackendReport&)> onReport;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_FLEET_FLEET_BACK_END_H_HEADER_GUARD
