/// A page of metrics in the Prometheus text form, built when it is asked for.
#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/latency_histogram.h"

namespace driftlug::base {

/// Collects values of one scrape. Names get the prefix `driftlug_`.
class MetricsPage {
 public:
  /// Adds a value that only grows.
  void counter(const std::string& name, const std::string& help, int64_t value);

  /// Adds a value that may go up and down.
  void gauge(const std::string& name, const std::string& help, double value);

  /// Adds the distribution of a latency, in seconds.
  void histogram(const std::string& name, const std::string& help, const LatencyHistogram& histogram);

  /// @return the page.
  std::string text() const;

 private:
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace driftlug::base
