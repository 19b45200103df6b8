/// driftlug-load: an open-loop load generator that verifies every response.
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <gflags/gflags.h>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/random.h"
#include "base/settings.h"
#include "call_content.h"
#include "daemon.h"
#include "exact_histogram.h"
#include "transport/http_client.h"

DEFINE_string(targets, "", "entry nodes or back ends as host:port, separated by commas");
DEFINE_string(host, "", "Host header of the calls");
DEFINE_string(lookups, "/", "paths of lookups, separated by commas");
DEFINE_string(filings, "", "paths of requests that may not be repeated, separated by commas");
DEFINE_double(filing_share, 0.1, "share of calls that are filings");
DEFINE_double(rate, 500, "calls per second");
DEFINE_int32(duration_ms, 5000, "duration of the load");
DEFINE_int32(call_timeout_ms, 5000, "a call without a response by then counts as lost");
DEFINE_int32(connections, 256, "maximum connections to each target");
DEFINE_int32(emulated_delay_us, 0, "one-way latency between caller and target; for tests only");
DEFINE_string(query, "", "query of all calls, which makes them equal; empty for a unique id per call");
DEFINE_string(record, "", "JSON file for the outcome of each filing");
DEFINE_int32(seed, 1, "seed of arrivals and ids");

namespace {

using namespace driftlug;
using nlohmann::json;

/// Paths, counts and latencies of one kind of call.
struct CallKind {
  std::vector<std::string> paths;
  tools::ExactHistogram latencies;
  int64_t sent = 0;
  int64_t ok = 0;
};

/// Failed calls by outcome.
struct FailureCounts {
  int64_t refused = 0;
  int64_t unknown = 0;
  int64_t lost = 0;
  int64_t crossed = 0;
  int64_t truncated = 0;
  int64_t other = 0;
};

class Load {
 public:
  explicit Load(transport::EventLoop& loop) : loop_(loop), random_(static_cast<uint64_t>(FLAGS_seed)) {
    for (const auto& text : base::splitList(FLAGS_targets)) {
      const auto address = apps::parseAddressOrExit("targets", text);
      targets_.push_back(std::make_unique<transport::HttpClientPool>(loop, "target-" + text, address.host, address.port,
                                                                     static_cast<size_t>(FLAGS_connections)));
    }
    lookups_.paths = base::splitList(FLAGS_lookups);
    filings_.paths = base::splitList(FLAGS_filings);
  }

  void start() {
    startedAt_ = loop_.now();
    nextArrival_ = startedAt_;
    sendDueCalls();
  }

  json summary() {
    const auto kindSummary = [](CallKind& kind) {
      return json{{"sent", kind.sent},
                  {"ok", kind.ok},
                  {"p50_us", kind.latencies.percentile(0.5)},
                  {"p90_us", kind.latencies.percentile(0.9)},
                  {"p99_us", kind.latencies.percentile(0.99)},
                  {"max_us", kind.latencies.percentile(1)}};
    };
    json out = {{"calls", lookups_.sent + filings_.sent}, {"ok", lookups_.ok + filings_.ok}};
    out["refused"] = failures_.refused;
    out["unknown"] = failures_.unknown;
    out["lost"] = failures_.lost;
    out["crossed"] = failures_.crossed;
    out["truncated"] = failures_.truncated;
    out["other"] = failures_.other;
    out["errors"] = errors_;
    out["by_backend"] = byBackend_;
    out["lookups"] = kindSummary(lookups_);
    out["filings"] = kindSummary(filings_);
    return out;
  }

  const json& record() const { return outcomes_; }

 private:
  void sendDueCalls() {
    const auto now = loop_.now();
    const auto end = startedAt_ + base::milliseconds(FLAGS_duration_ms);
    while (nextArrival_ <= now && nextArrival_ < end) {
      send();
      const double gap = -std::log(1 - random_.unit()) / FLAGS_rate;
      nextArrival_ += base::Duration(static_cast<int64_t>(gap * 1e6) + 1);
    }
    if (nextArrival_ < end) {
      loop_.schedule(std::chrono::duration_cast<base::Duration>(nextArrival_ - now), [this] { sendDueCalls(); });
      return;
    }
    sending_ = false;
    stopWhenDone();
  }

  void send() {
    const bool filing = !filings_.paths.empty() && random_.chance(FLAGS_filing_share);
    auto& kind = filing ? filings_ : lookups_;
    const auto id = absl::StrFormat("%d-%016x", FLAGS_seed, random_.bits());
    transport::HttpRequest request;
    request.method = filing ? "POST" : "GET";
    request.path = kind.paths[random_.below(kind.paths.size())];
    request.query = FLAGS_query.empty() ? "id=" + id : FLAGS_query;
    request.headers.push_back(transport::makeHeader("host", FLAGS_host));
    request.headers.push_back(transport::makeHeader("x-request-id", id));
    if (filing) {
      request.headers.push_back(transport::makeHeader("idempotency-key", id));
      request.body = tools::contentFor(id + "-body", 200 + random_.below(2000));
    }
    const auto expectedDigest = tools::digestOf(request.body);
    ++kind.sent;
    ++open_;
    auto& target = *targets_[random_.below(targets_.size())];
    const auto begun = loop_.now();
    const base::Duration delay(FLAGS_emulated_delay_us);
    loop_.schedule(
        delay, [this, &target, &kind, request = std::move(request), id, filing, expectedDigest, begun, delay] {
          target.send(request, base::milliseconds(FLAGS_call_timeout_ms),
                      [this, &kind, id, filing, expectedDigest, begun, delay](const transport::HttpResult& result) {
                        loop_.schedule(delay, [this, &kind, id, filing, expectedDigest, begun, result] {
                          onResult(&kind, id, filing, expectedDigest, begun, result);
                        });
                      });
        });
  }

  void onResult(CallKind* kind, const std::string& id, bool filing, const std::string& expectedDigest,
                base::TimePoint begun, const transport::HttpResult& result) {
    --open_;
    const auto outcome = classifyOutcome(id, expectedDigest, result);
    if (outcome == "ok") {
      ++kind->ok;
      kind->latencies.add((loop_.now() - begun).count());
    }
    if (filing) outcomes_[id] = outcome;
    stopWhenDone();
  }

  std::string classifyOutcome(const std::string& id, const std::string& expectedDigest,
                              const transport::HttpResult& result) {
    if (result.outcome != transport::HttpOutcome::kCompleted) {
      ++failures_.lost;
      ++errors_[result.timedOut ? "timed_out" : "connection"];
      return "lost";
    }
    const auto body = json::parse(result.response.body, nullptr, false);
    if (result.response.status != 200) {
      const auto outcome = body.is_object() ? body.value("outcome", "") : "";
      ++errors_[body.is_object() ? body.value("error", "untyped") : "untyped"];
      ++(outcome == "not_run" ? failures_.refused : outcome == "unknown" ? failures_.unknown : failures_.other);
      return outcome.empty() ? "other" : outcome;
    }
    if (!body.is_object()) {
      ++failures_.truncated;
      return "truncated";
    }
    if (body.value("id", "") != id || body.value("request_digest", "") != expectedDigest) {
      ++failures_.crossed;
      return "crossed";
    }
    const auto content = body.value("content", "");
    if (content.empty() || content != tools::contentFor(id, content.size())) {
      ++failures_.truncated;
      return "truncated";
    }
    ++byBackend_[body.value("backend", "")];
    return "ok";
  }

  void stopWhenDone() {
    if (!sending_ && open_ == 0) loop_.stop();
  }

  transport::EventLoop& loop_;
  base::RandomSource random_;
  std::vector<std::unique_ptr<transport::HttpClientPool>> targets_;
  CallKind lookups_;
  CallKind filings_;
  FailureCounts failures_;
  std::map<std::string, int64_t> errors_;
  std::map<std::string, int64_t> byBackend_;
  json outcomes_ = json::object();
  base::TimePoint startedAt_{};
  base::TimePoint nextArrival_{};
  bool sending_ = true;
  int64_t open_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  base::declareRequired("targets");
  base::declareRange("duration_ms", 1, 3'600'000);
  base::declareRange("connections", 1, 10'000);
  base::loadSettingsOrExit(argc, argv, "driftlug-load: an open-loop load generator", false);
  apps::configureLogsFromSettings();
  transport::EventLoop loop;
  Load load(loop);
  load.start();
  loop.run();
  if (!FLAGS_record.empty()) std::ofstream(FLAGS_record) << load.record().dump();
  std::printf("%s\n", load.summary().dump().c_str());
  return 0;
}
