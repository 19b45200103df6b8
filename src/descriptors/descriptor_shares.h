/// How a node shares its descriptors out among what opens them.
#ifndef DRIFTLUG_DESCRIPTORS_DESCRIPTOR_SHARES_H_HEADER_GUARD
#define DRIFTLUG_DESCRIPTORS_DESCRIPTOR_SHARES_H_HEADER_GUARD

#include <cstddef>

namespace driftlug::descriptors
{
/// Descriptors that belong to no share: up to 200 for files and pipes, 64 connections at each of two listeners for
/// pages, listeners, connections to relays, and sockets that are closed in the next turn of the loop. A process with
/// few descriptors reserves a quarter of them.
constexpr size_t kReservedDescriptors = 512;
constexpr size_t kReserveDivisor = 4;

/// Connections to a listener for pages: probes, scrapes and reports of a back end, a few a second.
constexpr size_t kPageConnections = 64;

/// Most descriptors of each kind, one at the least.
struct descriptor_shares
{
	size_t callers = 0;   //!< Connections of callers: a half, as they alone are open for anybody to make.
	size_t accepted = 0;  //!< Connections that other nodes opened, about one each: a fifth.
	size_t links = 0;     //!< Connections to other nodes, 16 for each service in general: a fifth.
	size_t backend = 0;   //!< Connections to the back end, one for each request that it runs: a tenth.
};

/// Shares out what the reserve leaves.
///
/// @param[in] _limit Descriptors that the process may have open.
descriptor_shares shareDescriptors(size_t _limit);

/// @returns How many descriptors the system lets this process have open.
size_t processLimit();

}  // namespace driftlug::descriptors

#endif  // DRIFTLUG_DESCRIPTORS_DESCRIPTOR_SHARES_H_HEADER_GUARD
