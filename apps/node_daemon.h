/// The node as a process: settings, sockets and wiring.
#pragma once

#include <functional>
#include <memory>

#include "daemon.h"
#include "node/local_backend.h"

namespace driftlug::apps {

/// Makes the handler of the pages by which the back end beside the node tells of itself.
using ReportPagesFactory = std::function<PageHandler(node::LocalBackend&)>;

/// What a platform adds to a node; each may be empty.
struct NodeExtensions {
  ReportPagesFactory makeReportPages;  ///< without it the back end is the one that the settings and the table name
  std::function<void()> onSettings;    ///< called once the settings are read, to derive some from others
};

/// Runs a node until it is told to stop.
/// @return the exit status of the process
int runNode(int argc, char** argv, const NodeExtensions& extensions);

}  // namespace driftlug::apps
