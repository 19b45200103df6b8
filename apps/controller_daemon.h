/// The controller process: settings, sockets and wiring, optionally with an embedded relay.
#pragma once

#include <functional>

#include "controller/controller.h"
#include "daemon.h"

namespace driftlug::apps {

/// Handles pages in addition to the built-in ones.
/// @return false if the request is for another page
using ExtraPages =
    std::function<bool(const transport::HttpRequest&, const std::function<void(transport::HttpResponse)>&)>;

/// Creates the additional pages of a controller.
using ExtraPagesFactory = std::function<ExtraPages(controller::Controller&)>;

/// Runs a controller until it receives a termination signal.
/// @param makeExtraPages may be empty
/// @return the exit status of the process
int runController(int argc, char** argv, const ExtraPagesFactory& makeExtraPages);

}  // namespace driftlug::apps
