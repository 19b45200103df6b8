#include "base/metrics.h"

#include <prometheus/text_serializer.h>

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

std::string MetricsPage::text() const { return prometheus::TextSerializer().Serialize(families_); }

}  // namespace driftlug::base
