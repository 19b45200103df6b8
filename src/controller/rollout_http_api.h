/// The operators' HTTP interface for rollouts of service versions. Documented in docs/operators/rollouts.md.
#pragma once

#include <functional>
#include <string>

#include "controller/controller.h"
#include "transport/http.h"

namespace driftlug::controller {
/// Starts, shows and aborts rollouts. Only the leader serves these requests, and reads are answered only after a quorum
/// confirmed its leadership.
class RolloutHttpApi {
 public:
  using Respond = std::function<void(transport::HttpResponse)>;
  /// Creates the response that redirects a request to the leader.
  using RedirectResponder = std::function<transport::HttpResponse(const transport::HttpRequest&)>;

  RolloutHttpApi(Controller& controller, RedirectResponder redirect);

  /// @return false if the path is not a rollout path
  bool handle(const transport::HttpRequest& request, const Respond& respond);

 private:
  void start(const std::string& service, const transport::HttpRequest& request, const Respond& respond);
  void abort(const std::string& service, const transport::HttpRequest& request, const Respond& respond);
  void show(const std::string& service, const transport::HttpRequest& request, const Respond& respond);
  void answer(const RolloutAnswer& answer, const std::string& service, const transport::HttpRequest& request,
              const Respond& respond) const;
  transport::HttpResponse getRollout(const std::string& service) const;
  transport::HttpResponse listRollouts() const;

  Controller& controller_;
  RedirectResponder redirect_;
};

}  // namespace driftlug::controller
