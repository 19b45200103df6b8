/// Hands bodies over between the two sides of a node.
#pragma once

#include <cstdint>
#include <map>

#include "memory/shared_body.h"

namespace driftlug::node {

/// Holds the large bodies of calls to the local back end on their way between the entry and the endpoint side, so that
/// the process holds them once. Their messages travel as others do, without the body.
///
/// Each is put right before its message is sent and taken when that arrives; drop() removes what is left of an attempt
/// whose connection closed meanwhile.
class BodyExchange {
 public:
  /// Smaller bodies travel within their messages.
  static constexpr size_t kMinBytes = size_t{64} << 10;

  void putRequest(int64_t attempt, memory::shared_body body) { requests_[attempt] = std::move(body); }
  void putResponse(int64_t attempt, memory::shared_body body) { responses_[attempt] = std::move(body); }

  /// @return the body, or an empty one if none was put.
  memory::shared_body takeRequest(int64_t attempt) { return take(&requests_, attempt); }
  memory::shared_body takeResponse(int64_t attempt) { return take(&responses_, attempt); }

  void drop(int64_t attempt) {
    requests_.erase(attempt);
    responses_.erase(attempt);
  }

 private:
  using Bodies = std::map<int64_t, memory::shared_body>;

  static memory::shared_body take(Bodies* bodies, int64_t attempt) {
    const auto node = bodies->extract(attempt);
    return node.empty() ? memory::shared_body() : node.mapped();
  }

  Bodies requests_;   // by attempt id of the entry side
  Bodies responses_;  // by attempt id of the entry side
};

}  // namespace driftlug::node
