/// The node as a process: settings, sockets and wiring.
#pragma once

#include <functional>
#include <memory>

#include "daemon.h"
#include "node/local_backend.h"

namespace driftlug::apps {

/// Makes the handler of the pages by which the back end beside the node tells of itself.
using ReportPagesFactory = std::function<PageHandler(node::LocalBackend&)>;

/// Runs a node until it is told to stop.
/// @param makeReportPages may be empty; then the back end is the one that the settings and the table name
/// @return the exit status of the process
int runNode(int argc, char** argv, const ReportPagesFactory& makeReportPages);

}  // namespace driftlug::apps
