/// The operators' pages for orders to move a service to another version. Documented in docs/operators/rollouts.md.
#pragma once

#include <functional>
#include <string>

#include "controller/controller.h"
#include "transport/http.h"

namespace driftlug::controller {
/// Starts, shows and takes back orders; on the leading controller alone, and read after a quorum confirmed that.
class RolloutHttpApi {
 public:
  using Respond = std::function<void(transport::HttpResponse)>;
  /// The answer to a request that another controller should get.
  using RedirectResponder = std::function<transport::HttpResponse(const transport::HttpRequest&)>;

  RolloutHttpApi(Controller& controller, RedirectResponder redirect);

  /// @return False for a request to another page
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
