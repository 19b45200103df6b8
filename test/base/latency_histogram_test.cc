#include "base/latency_histogram.h"

#include <catch2/catch.hpp>

#include "base/metrics.h"

namespace driftlug::base {

TEST_CASE("latencies fall into doubling buckets, the last of which has no bound") {
  LatencyHistogram histogram;
  histogram.record(microseconds(0));
  histogram.record(milliseconds(1));
  histogram.record(microseconds(1001));
  histogram.record(milliseconds(2));
  histogram.record(seconds(3600));
  CHECK(histogram.counts()[0] == 2);
  CHECK(histogram.counts()[1] == 2);
  CHECK(histogram.counts()[LatencyHistogram::kBuckets - 1] == 1);
  CHECK(LatencyHistogram::boundSeconds(1) == Approx(0.002));
}

TEST_CASE("a metrics page shows a histogram with cumulative buckets, its count and its sum") {
  LatencyHistogram histogram;
  histogram.record(milliseconds(1));
  histogram.record(milliseconds(3));
  MetricsPage page;
  page.histogram("latency_seconds", "help", histogram);
  const auto text = page.text();
  CHECK(text.find("driftlug_latency_seconds_bucket{le=\"0.001\"} 1") != std::string::npos);
  CHECK(text.find("driftlug_latency_seconds_bucket{le=\"+Inf\"} 2") != std::string::npos);
  CHECK(text.find("driftlug_latency_seconds_count 2") != std::string::npos);
}

}  // namespace driftlug::base
