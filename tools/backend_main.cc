/// driftlug-backend: a test back end with concurrency slots, random service times, draining and load shedding, which
/// records the requests that it ran.
#include <absl/strings/numbers.h>
#include <gflags/gflags.h>

#include <cmath>
#include <deque>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "base/random.h"
#include "base/settings.h"
#include "call_content.h"
#include "daemon.h"
#include "transport/http_server.h"

DEFINE_string(name, "backend", "name reported in responses");
DEFINE_string(listen_host, "127.0.0.1", "IP number to listen on");
DEFINE_int32(port, 0, "port to listen on");
DEFINE_int32(slots, 20, "requests that run concurrently; further ones are queued");
DEFINE_int32(queue, 1000, "capacity of the queue; further requests are shed");
DEFINE_int32(service_time_us, 5000, "mean service time of a request");
DEFINE_string(distribution, "exponential", "distribution of service times: fixed, exponential or lognormal");
DEFINE_int32(content_bytes, 2000, "size of the content of a response, unless the query names another");
DEFINE_int32(max_body_mb, 8, "maximum size of a request body in MiB");
DEFINE_int32(connection_cost_us, 1000, "extra service time of the first request on a connection");
DEFINE_int32(cold_start_ms, 0, "time after startup in which requests take ten times as long");
DEFINE_double(slow_factor, 1.0, "multiplies service times");
DEFINE_double(load_report_factor, 1.0, "multiplies the reported load; values other than 1 make the report inaccurate");
DEFINE_int32(load_report_lag_ms, 0, "age of the reported load");
DEFINE_bool(health_lies, false, "health checks succeed even while draining");
DEFINE_string(record_file, "", "file that persists the record of runs across restarts; empty for none");
DEFINE_int32(seed, 1, "seed of service times");
DEFINE_string(
    note_ids, "",
    "writes the start, end and abort of each request whose x-request-id has this prefix to standard output, with "
    "the boot clock in microseconds; empty for none");
DEFINE_string(fatal_path, "", "a request for this path terminates the process at the end of its run; empty for none");

namespace {

using namespace driftlug;
using transport::ExchangeId;
using transport::HttpRequest;

constexpr int kCrashed = 70;  // exit code after a request for --fatal-path
constexpr double kColdFactor = 10;
constexpr double kLognormalSigma = 0.8;

/// Runs requests in a fixed number of slots and counts the runs of each idempotency key.
class Backend {
 public:
  explicit Backend(transport::EventLoop& loop)
      : loop_(loop),
        random_(static_cast<uint64_t>(FLAGS_seed)),
        startedAt_(loop.now()),
        slowFactor_(FLAGS_slow_factor),
        server_(
            loop, "backend", serverOptions(),
            [this](ExchangeId exchange, HttpRequest request) { onRequest(exchange, std::move(request)); },
            [this](ExchangeId exchange) { onAbort(exchange); }) {
    readRecordFile();
  }

  void listenOrExit() {
    if (const auto status = server_.listen(FLAGS_listen_host, FLAGS_port); !status.ok()) apps::exitWithError(status);
  }

  void startDrain() { draining_ = true; }
  bool idle() const { return running_.empty() && waiting_.empty(); }

 private:
  struct Job {
    ExchangeId exchange;
    HttpRequest request;
    base::TimePoint deadline;
  };

  void onRequest(ExchangeId exchange, HttpRequest request) {
    if (request.path == "/healthz") return answerHealth(exchange);
    if (request.path == "/record") return answerRecord(exchange);
    if (request.path == "/control") return control(exchange, request);
    int deadlineMs = 0;
    (void)absl::SimpleAtoi(std::string(request.header("x-deadline-ms")), &deadlineMs);
    const auto limit =
        deadlineMs > 0 ? base::Duration(base::milliseconds(deadlineMs)) : base::Duration(base::seconds(60));
    waiting_.push_back({exchange, std::move(request), loop_.now() + limit});
    if (waiting_.size() > static_cast<size_t>(FLAGS_queue)) {
      const auto shed = std::move(waiting_.back());
      waiting_.pop_back();
      return sendShedResponse(shed.exchange);
    }
    startWaiting();
  }

  static transport::HttpServerOptions serverOptions() {
    transport::HttpServerOptions options;
    options.maxBodyBytes = static_cast<size_t>(FLAGS_max_body_mb) << 20;
    return options;
  }

  /// Responds that a request was shed without running.
  void sendShedResponse(ExchangeId exchange) {
    auto response = transport::jsonResponse(503, "{\"error\":\"shed\"}\n");
    response.headers.push_back(transport::makeHeader("x-shed", "1"));
    server_.respond(exchange, response);
  }

  void startWaiting() {
    while (!waiting_.empty() && running_.size() < static_cast<size_t>(FLAGS_slots)) {
      auto job = std::move(waiting_.front());
      waiting_.pop_front();
      if (job.deadline <= loop_.now()) {
        sendShedResponse(job.exchange);
        continue;
      }
      const auto exchange = job.exchange;
      const bool fatal = !FLAGS_fatal_path.empty() && job.request.path == FLAGS_fatal_path;
      const auto timer = loop_.schedule(serviceTime(job.request), [this, exchange, fatal] {
        if (fatal) std::_Exit(kCrashed);
        finish(exchange);
      });
      // A request with an idempotency key counts as run from here on, even if its caller disconnects.
      recordStart(job.request);
      printEvent("began", job.request);
      running_[exchange] = {std::move(job), timer};
    }
  }

  base::Duration serviceTime(const HttpRequest& request) {
    double factor = slowFactor_;
    if (loop_.now() - startedAt_ < base::milliseconds(FLAGS_cold_start_ms)) factor *= kColdFactor;
    double draw = 1;
    if (FLAGS_distribution == "exponential") draw = -std::log(1 - random_.unit());
    if (FLAGS_distribution == "lognormal") {
      const double normal = std::sqrt(-2 * std::log(1 - random_.unit())) * std::cos(2 * M_PI * random_.unit());
      draw = std::exp(kLognormalSigma * normal - kLognormalSigma * kLognormalSigma / 2);
    }
    const int cost = request.firstOnConnection ? FLAGS_connection_cost_us : 0;
    return base::Duration(static_cast<int64_t>(FLAGS_service_time_us * draw * factor) + cost);
  }

  void readRecordFile() {
    if (FLAGS_record_file.empty()) return;
    std::ifstream earlier(FLAGS_record_file);
    for (std::string key; std::getline(earlier, key);) ++record_[key];
    recordFile_.open(FLAGS_record_file, std::ios::app);
  }

  void recordStart(const HttpRequest& request) {
    const auto key = std::string(request.header("idempotency-key"));
    if (key.empty()) return;
    ++record_[key];
    // Flushed before the request runs, so that the record survives a kill of the process.
    if (recordFile_.is_open()) recordFile_ << key << std::endl;
  }

  void printEvent(const char* what, const HttpRequest& request) const {
    const auto id = std::string(request.header("x-request-id"));
    if (FLAGS_note_ids.empty() || id.rfind(FLAGS_note_ids, 0) != 0) return;
    std::printf("%s %s %lld\n", what, id.c_str(), static_cast<long long>(loop_.now().time_since_epoch().count()));
    std::fflush(stdout);
  }

  void finish(ExchangeId exchange) {
    auto node = running_.extract(exchange);
    const auto& request = node.mapped().job.request;
    printEvent("ended", request);
    const auto id = std::string(request.header("x-request-id"));
    nlohmann::json body = {{"id", id}, {"backend", FLAGS_name}, {"request_digest", tools::digestOf(request.body)}};
    size_t contentBytes = static_cast<size_t>(FLAGS_content_bytes);
    if (const auto text = request.parameter("content_bytes"); !text.empty())
      (void)absl::SimpleAtoi(text, &contentBytes);
    body["content"] = tools::contentFor(id, contentBytes);
    auto response = transport::jsonResponse(200, body.dump());
    response.headers.push_back(transport::makeHeader("x-load", std::to_string(reportedLoad())));
    server_.respond(exchange, std::move(response));
    startWaiting();
  }

  int reportedLoad() {
    const auto now = loop_.now();
    if (now - loadAt_ >= base::milliseconds(FLAGS_load_report_lag_ms)) {
      loadAt_ = now;
      load_ = static_cast<int>(static_cast<double>(running_.size() + waiting_.size()) * FLAGS_load_report_factor);
    }
    return load_;
  }

  /// Cancels the request of a disconnected caller, unless it is running and has an idempotency key.
  void onAbort(ExchangeId exchange) {
    std::erase_if(waiting_, [&](const auto& job) { return job.exchange == exchange; });
    const auto found = running_.find(exchange);
    if (found == running_.end() || !found->second.job.request.header("idempotency-key").empty()) return;
    printEvent("aborted", found->second.job.request);
    loop_.cancel(found->second.timer);
    running_.erase(found);
    startWaiting();
  }

  void answerHealth(ExchangeId exchange) {
    const bool good = !draining_ || FLAGS_health_lies;
    server_.respond(exchange, transport::jsonResponse(good ? 200 : 503,
                                                      good ? "{\"status\":\"ok\"}\n" : "{\"status\":\"draining\"}\n"));
  }

  void answerRecord(ExchangeId exchange) {
    server_.respond(exchange, transport::jsonResponse(200, nlohmann::json{{"ran", record_}}.dump()));
  }

  void control(ExchangeId exchange, const HttpRequest& request) {
    if (const auto text = request.parameter("drain"); !text.empty()) draining_ = text == "1";
    if (const auto text = request.parameter("slow"); !text.empty()) (void)absl::SimpleAtod(text, &slowFactor_);
    server_.respond(exchange, transport::jsonResponse(200, "{\"result\":\"done\"}\n"));
  }

  struct Running {
    Job job;
    base::TimerId timer;
  };

  transport::EventLoop& loop_;
  base::RandomSource random_;
  base::TimePoint startedAt_;
  double slowFactor_;
  bool draining_ = false;
  std::deque<Job> waiting_;
  std::map<ExchangeId, Running> running_;
  std::map<std::string, int> record_;  // runs by idempotency key
  std::ofstream recordFile_;           // one key per line; closed if --record-file is empty
  int load_ = 0;
  base::TimePoint loadAt_{};
  transport::HttpServer server_;
};

}  // namespace

int main(int argc, char** argv) {
  base::declareRange("port", 1, 65535);
  base::declareRange("slots", 1, 100'000);
  base::declareRange("max_body_mb", 1, 1024);
  base::declareRange("service_time_us", 0, 60'000'000);
  base::loadSettingsOrExit(argc, argv, "driftlug-backend: a test back end", false);
  apps::configureLogsFromSettings();
  transport::EventLoop loop;
  Backend backend(loop);
  backend.listenOrExit();
  std::function<void()> waitForIdle = [&] {
    if (backend.idle()) return loop.stop();
    loop.schedule(base::milliseconds(20), waitForIdle);
  };
  loop.onSignals({[&] {
                    constexpr base::Duration kDrainTime = base::milliseconds(800);
                    backend.startDrain();
                    loop.schedule(kDrainTime, waitForIdle);
                  },
                  {}});
  loop.run();
  return 0;
}
