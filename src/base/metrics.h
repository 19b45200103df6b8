/// Metrics page in the Prometheus text format, built for each scrape.
#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/latency_histogram.h"

namespace driftlug::base {

/// Collects the values of one scrape. Adds the prefix `driftlug_` to names.
class MetricsPage {
 public:
  /// Adds a monotonic counter.
  void counter(const std::string& name, const std::string& help, int64_t value);

  /// Adds a gauge.
  void gauge(const std::string& name, const std::string& help, double value);

  /// Adds a latency histogram, in seconds.
  void histogram(const std::string& name, const std::string& help, const LatencyHistogram& histogram);

  /// @return the page in the Prometheus text format.
  std::string text() const;

 private:
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace driftlug::base
