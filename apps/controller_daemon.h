/// The controller as a process: settings, sockets and wiring, with a relay beside it where one is asked for.
#pragma once

#include <functional>

#include "controller/controller.h"
#include "daemon.h"

namespace driftlug::apps {

/// Answers pages beside the product's own.
/// @return false for a request that is not its own
using ExtraPages =
    std::function<bool(const transport::HttpRequest&, const std::function<void(transport::HttpResponse)>&)>;

/// Makes the extra pages of a controller.
using ExtraPagesFactory = std::function<ExtraPages(controller::Controller&)>;

/// Runs a controller until it is told to stop.
/// @param makeExtraPages may be empty
/// @return the exit status of the process
int runController(int argc, char** argv, const ExtraPagesFactory& makeExtraPages);

}  // namespace driftlug::apps
