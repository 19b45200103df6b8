/// The node process: settings, sockets and wiring.
#pragma once

#include <functional>
#include <memory>

#include "daemon.h"
#include "node/local_backend.h"

namespace driftlug::apps {

/// Creates the handler of the pages on which the local back end reports its state.
using ReportPagesFactory = std::function<PageHandler(node::LocalBackend&)>;

/// Runs a node until it receives a termination signal.
/// @param makeReportPages may be empty; then the back end is the one given by the settings and the table
/// @return the exit status of the process
int runNode(int argc, char** argv, const ReportPagesFactory& makeReportPages);

}  // namespace driftlug::apps
