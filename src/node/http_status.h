/// HTTP statuses that the entry and endpoint sides of calls tell apart or answer with.
#pragma once

namespace driftlug::node {

constexpr int kUnauthorizedStatus = 401;
constexpr int kNotFoundStatus = 404;
constexpr int kMisdirectedStatus = 421;
constexpr int kUnprocessableStatus = 422;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kFirstServerError = 500;
constexpr int kBadGatewayStatus = 502;
constexpr int kUnavailableStatus = 503;
constexpr int kGatewayTimeoutStatus = 504;

}  // namespace driftlug::node
