/// The operators' HTTP and JSON interface of a controller. Documented in docs/operators/api.md.
#pragma once

#include <functional>
#include <list>
#include <string>

#include "base/time.h"
#include "controller/controller.h"
#include "controller/rollout_http_api.h"
#include "transport/http.h"

namespace driftlug::controller {

/// Sends the response to one request; called once.
using HttpRespond = std::function<void(transport::HttpResponse)>;

/// Translates HTTP requests into calls of a Controller. Only the leader serves requests, apart from the status; other
/// controllers redirect to it.
///
/// Reads are answered only after a quorum confirmed that this controller still leads.
class HttpApi {
 public:
  HttpApi(Controller& controller, base::Scheduler& scheduler);

  /// Handles a request; responds immediately or later.
  void handle(const transport::HttpRequest& request, HttpRespond respond);

  /// Responds to the requests that wait for a revision that has now converged or that have timed out.
  void onConvergenceChanged();

 private:
  struct Waiter {
    int64_t revision;
    base::TimePoint deadline;
    HttpRespond respond;
  };

  using Read = std::function<transport::HttpResponse()>;

  void confirmedRead(const transport::HttpRequest& request, const HttpRespond& respond, Read read);
  void postEdit(const transport::HttpRequest& request, const HttpRespond& respond);
  void getConvergence(const transport::HttpRequest& request, const HttpRespond& respond);
  void controllers(const transport::HttpRequest& request, const HttpRespond& respond);
  transport::HttpResponse rows(const transport::HttpRequest& request) const;
  transport::HttpResponse oneRow(const std::string& kindAndName) const;
  transport::HttpResponse ledgerKey(const std::string& key) const;
  transport::HttpResponse history(const transport::HttpRequest& request) const;
  transport::HttpResponse status() const;
  transport::HttpResponse convergence(int64_t revision) const;
  transport::HttpResponse notLeaderResponse(const transport::HttpRequest& request) const;
  void onWaitTimer();

  Controller& controller_;
  base::Scheduler& scheduler_;
  std::list<Waiter> waiters_;
  base::Timer waitTimer_;
  RolloutHttpApi rollouts_;
};

/// @return a JSON error response with the HTTP status that matches the code.
transport::HttpResponse errorResponse(base::ErrorCode code, const std::string& description);

}  // namespace driftlug::controller
