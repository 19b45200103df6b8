/// Divides the file descriptor limit of a node among its kinds of connections.
#ifndef DRIFTLUG_DESCRIPTORS_DESCRIPTOR_SHARES_H_HEADER_GUARD
#define DRIFTLUG_DESCRIPTORS_DESCRIPTOR_SHARES_H_HEADER_GUARD

#include <cstddef>

namespace driftlug::descriptors
{
/// Descriptors outside of all shares: up to 200 for files and pipes, 64 connections at each of two HTTP page listeners,
/// the listeners themselves, connections to relays, and sockets that are closed in the next event loop iteration. A
/// process with a low limit reserves a quarter of it.
constexpr size_t kReservedDescriptors = 512;
constexpr size_t kReserveDivisor = 4;

/// Connections to an HTTP page listener: probes, metric scrapes and back end reports, a few per second.
constexpr size_t kPageConnections = 64;

/// Maximum number of descriptors of each kind, at least 1.
struct descriptor_shares
{
	size_t callers = 0;   //!< Connections of callers: a half, since anyone can open them.
	size_t accepted = 0;  //!< Connections opened by other nodes, about one per node: a fifth.
	size_t links = 0;     //!< Connections to other nodes, usually 16 per service: a fifth.
	size_t backend = 0;   //!< Connections to the back end, one per running request: a tenth.
};

/// Divides the descriptors that remain after the reserve.
///
/// @param[in] _limit Maximum number of open descriptors of the process.
descriptor_shares shareDescriptors(size_t _limit);

/// @returns The soft limit of open descriptors of this process (RLIMIT_NOFILE); 1024 if it is unlimited or unknown.
size_t processLimit();

}  // namespace driftlug::descriptors

#endif  // DRIFTLUG_DESCRIPTORS_DESCRIPTOR_SHARES_H_HEADER_GUARD
