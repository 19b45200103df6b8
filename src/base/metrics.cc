#include "base/metrics.h"

#include <prometheus/text_serializer.h>

#include <limits>

namespace driftlug::base {
namespace {

prometheus::MetricFamily makeFamily(const std::string& name, const std::string& help, prometheus::MetricType type) {
  prometheus::MetricFamily family;
  family.name = "driftlug_" + name;
  family.help = help;
  family.type = type;
  family.metric.emplace_back();
  return family;
}

}  // namespace

void MetricsPage::counter(const std::string& name, const std::string& help, int64_t value) {
  auto family = makeFamily(name, help, prometheus::MetricType::Counter);
  family.metric[0].counter.value = static_cast<double>(value);
  families_.push_back(std::move(family));
}

void MetricsPage::gauge(const std::string& name, const std::string& help, double value) {
  auto family = makeFamily(name, help, prometheus::MetricType::Gauge);
  family.metric[0].gauge.value = value;
  families_.push_back(std::move(family));
}

void MetricsPage::histogram(const std::string& name, const std::string& help, const LatencyHistogram& histogram) {
  auto family = makeFamily(name, help, prometheus::MetricType::Histogram);
  auto& out = family.metric[0].histogram;
  uint64_t cumulative = 0;
  for (size_t bucket = 0; bucket < LatencyHistogram::kBuckets; ++bucket) {
    cumulative += static_cast<uint64_t>(histogram.counts()[bucket]);
    const bool last = bucket + 1 == LatencyHistogram::kBuckets;
    const double bound = last ? std::numeric_limits<double>::infinity() : LatencyHistogram::boundSeconds(bucket);
    out.bucket.push_back({cumulative, bound});
  }
  out.sample_count = cumulative;
  out.sample_sum = histogram.sumSeconds();
  families_.push_back(std::move(family));
}

std::string MetricsPage::text() const { return prometheus::TextSerializer().Serialize(families_); }

}  // namespace driftlug::base
