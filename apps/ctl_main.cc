/// driftlugctl: command-line tool for operators.
#include <absl/strings/numbers.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <functional>
#include <map>

#include "base/settings.h"
#include "control_api_client.h"
#include "ctl_output.h"
#include "daemon.h"
#include "rollout_command.h"
#include "table/row_json.h"
#include "table/table.h"
#include "table_file.h"
#include "trace_command.h"

DEFINE_string(controllers, "127.0.0.1:7301", "HTTP addresses of controllers as host:port, separated by commas");
DEFINE_int32(timeout_ms, 10000, "longest time to wait for an answer");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_string(kind, "", "rows: only this kind");
DEFINE_string(request_id, "", "request id of an edit; generated if empty");
DEFINE_string(author, "", "author of an edit, for the history");
DEFINE_int64(expect, -1, "set, delete: expected revision of the row; -1 for the one just read (set) or any (delete)");
DEFINE_bool(wait, false,
            "set, delete, apply: wait until the edit is in force on all nodes; rollout start: wait until it has ended");
DEFINE_string(node, "", "drain, held, release: administration address of the node as host:port");
DEFINE_int32(finish_by_ms, 0, "rollout start: time limit; a rollout that has not ended by then is rolled back");
DEFINE_bool(undo, false, "drain: accept new calls again");

namespace {

using namespace driftlug;
using nlohmann::json;

constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;

using apps::Arguments;
using apps::kBadInput;
using apps::kDone;
using apps::kInvalid;
using apps::kNotAccepted;
using apps::kNotFound;
using apps::kWaitTimedOut;
using apps::usageError;

std::string cellText(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

void printRow(const json& row) {
  std::printf("%-14s %-32s r%-8lld", row.value("kind", "").c_str(), row.value("name", "").c_str(),
              static_cast<long long>(row.value("revision", int64_t{0})));
  for (const auto& [field, value] : row.items()) {
    if (field == "kind" || field == "name" || field == "revision") continue;
    std::printf(" %s=%s", field.c_str(), cellText(value).c_str());
  }
  std::printf("\n");
}

int printAnswer(const apps::ApiAnswer& answer) { return apps::printAnswer(answer, FLAGS_json); }

/// Expected revision of an edit that applies to any state of the row.
constexpr int64_t kAnyRevision = -1;

/// Commands that send requests to controllers or nodes.
class Commands {
 public:
  explicit Commands(apps::SyncHttp& http, std::vector<base::Address> controllers)
      : http_(http), client_(http, std::move(controllers), base::milliseconds(FLAGS_timeout_ms)) {}

  int rows(const Arguments&) {
    const auto answer = client_.request("GET", "/v1/rows?kind=" + FLAGS_kind, "");
    if (FLAGS_json || answer.status != 200) return printAnswer(answer);
    for (const auto& row : answer.body["rows"]) printRow(row);
    return kDone;
  }

  int get(const Arguments& arguments) {
    if (arguments.size() != 1) return usageError("get needs KIND/NAME");
    return printAnswer(client_.request("GET", "/v1/rows/" + arguments[0], ""));
  }

  int set(const Arguments& arguments) {
    if (arguments.size() < 2) return usageError("set needs KIND/NAME FIELD=VALUE …");
    const auto slash = arguments[0].find('/');
    if (slash == std::string::npos) return usageError("set needs KIND/NAME");
    const auto current = client_.request("GET", "/v1/rows/" + arguments[0], "");
    if (current.status != 200 && current.status != 404) return printAnswer(current);
    json fields = current.status == 200 ? current.body : json::object();
    const int64_t revision = fields.value("revision", int64_t{0});
    for (const char* name : {"kind", "name", "revision", "value_bytes"}) fields.erase(name);
    for (size_t i = 1; i < arguments.size(); ++i) {
      const auto equals = arguments[i].find('=');
      if (equals == std::string::npos) return usageError("'" + arguments[i] + "' is not FIELD=VALUE");
      const auto text = arguments[i].substr(equals + 1);
      const auto value = json::parse(text, nullptr, false);
      fields[arguments[i].substr(0, equals)] = value.is_discarded() ? json(text) : value;
    }
    const json item = {{"kind", arguments[0].substr(0, slash)},
                       {"name", arguments[0].substr(slash + 1)},
                       {"expected_revision", FLAGS_expect >= 0 ? FLAGS_expect : revision},
                       {"row", fields}};
    return sendEdit(json::array({item}));
  }

  int remove(const Arguments& arguments) {
    if (arguments.size() != 1 || arguments[0].find('/') == std::string::npos)
      return usageError("delete needs KIND/NAME");
    const auto slash = arguments[0].find('/');
    const json item = {{"kind", arguments[0].substr(0, slash)},
                       {"name", arguments[0].substr(slash + 1)},
                       {"expected_revision", FLAGS_expect},
                       {"delete", true}};
    return sendEdit(json::array({item}));
  }

  int apply(const Arguments& arguments) {
    json edits;
    if (const int code = diffWithTable(arguments, &edits); code != kDone) return code;
    if (edits.empty()) {
      std::printf("no differences\n");
      return kDone;
    }
    return sendEdit(edits);
  }

  int diff(const Arguments& arguments) {
    json edits;
    if (const int code = diffWithTable(arguments, &edits); code != kDone) return code;
    for (const auto& item : edits) {
      std::printf("%s %s/%s %s\n", item["expected_revision"] == 0 ? "+" : "~", item["kind"].get<std::string>().c_str(),
                  item["name"].get<std::string>().c_str(), item["row"].dump().c_str());
    }
    return kDone;
  }

  int history(const Arguments&) { return printAnswer(client_.request("GET", "/v1/history", "")); }
  int status(const Arguments&) { return printAnswer(client_.request("GET", "/v1/status", "")); }

  int wait(const Arguments& arguments) {
    int64_t revision = 0;
    if (arguments.size() != 1 || !absl::SimpleAtoi(arguments[0], &revision)) return usageError("wait needs a REVISION");
    return waitFor(revision);
  }

  int drain(const Arguments&) { return requestNode(FLAGS_undo ? "DELETE" : "POST", "/drain"); }

  int held(const Arguments&) { return requestNode("GET", "/quarantine"); }

  int release(const Arguments& arguments) {
    if (arguments.size() != 1) return usageError("release needs a REQUEST, as held lists it");
    return requestNode("DELETE", "/quarantine/" + arguments[0]);
  }

  int evacuate(const Arguments& arguments) {
    if (arguments.size() != 1) return usageError("evacuate needs a ZONE");
    return sendEdit(json::array({{{"kind", "evacuation"},
                                  {"name", arguments[0]},
                                  {"expected_revision", kAnyRevision},
                                  {"row", json::object()}}}));
  }

  int restore(const Arguments& arguments) {
    if (arguments.size() != 1) return usageError("restore needs a ZONE");
    return sendEdit(json::array(
        {{{"kind", "evacuation"}, {"name", arguments[0]}, {"expected_revision", kAnyRevision}, {"delete", true}}}));
  }

  int rollout(const Arguments& arguments) {
    return apps::RolloutCommand(http_, client_, {FLAGS_finish_by_ms, FLAGS_wait, FLAGS_json}).run(arguments);
  }

  int controllers(const Arguments& arguments) {
    if (arguments.empty() || arguments[0] == "list") return status(arguments);
    if (arguments[0] == "remove" && arguments.size() == 2) return removeController(arguments[1]);
    const bool adds = (arguments[0] == "add" || arguments[0] == "replace") && arguments.size() == 5;
    if (!adds) return usageError("controllers list | remove NAME | add|replace NAME HOST FRAME_PORT HTTP_PORT");
    if (arguments[0] == "replace") {
      if (const int code = removeController(arguments[1]); code != kDone && code != kNotFound) return code;
    }
    json body = {{"name", arguments[1]}, {"address", arguments[2]}};
    body["frame_port"] = std::atoi(arguments[3].c_str());
    body["http_port"] = std::atoi(arguments[4].c_str());
    return printAnswer(client_.request("POST", "/v1/controllers", body.dump()));
  }

 private:
  int removeController(const std::string& name) {
    return printAnswer(client_.request("DELETE", "/v1/controllers/" + name, ""));
  }

  int sendEdit(const json& edits) {
    json edit = {{"edits", edits}, {"author", FLAGS_author}};
    if (!FLAGS_request_id.empty()) edit["request_id"] = FLAGS_request_id;
    const auto answer = client_.edit(edit);
    const int code = printAnswer(answer);
    if (code != kDone || !FLAGS_wait) return code;
    return waitFor(answer.body.value("revision", int64_t{0}));
  }

  int waitFor(int64_t revision) {
    constexpr int kLongPollMs = 500;
    const auto until = http_.loop().now() + base::milliseconds(FLAGS_timeout_ms);
    while (true) {
      const auto path =
          "/v1/revisions/" + std::to_string(revision) + "/convergence?wait_ms=" + std::to_string(kLongPollMs);
      const auto answer = client_.request("GET", path, "");
      if (answer.status != 200) return printAnswer(answer);
      const bool everywhere = answer.body.value("everywhere", false);
      std::fprintf(stderr, "revision %lld: %lld in force, %lld lagging\n", static_cast<long long>(revision),
                   static_cast<long long>(answer.body.value("in_force", int64_t{0})),
                   static_cast<long long>(answer.body.value("lagging", int64_t{0})));
      if (everywhere) return printAnswer(answer);
      if (http_.loop().now() >= until) {
        printAnswer(answer);
        return kWaitTimedOut;
      }
    }
  }

  /// Compares a file with the table.
  /// @param edits set to the edits that apply the file
  /// @return the exit code
  int diffWithTable(const Arguments& arguments, json* edits) {
    if (arguments.size() != 1) return usageError("a FILE is needed");
    const auto rows = apps::readTableFile(arguments[0]);
    if (!rows.ok()) {
      std::fprintf(stderr, "bad_request_body: %s\n", base::errorText(rows.status()).c_str());
      return kBadInput;
    }
    const auto answer = client_.request("GET", "/v1/rows", "");
    if (answer.status != 200) return printAnswer(answer);
    std::map<std::string, json> current;
    for (const auto& row : answer.body["rows"]) current[row.value("kind", "") + "/" + row.value("name", "")] = row;
    *edits = json::array();
    for (const auto& row : *rows) {
      const auto found = current.find(row.kind + "/" + row.name);
      const bool exists = found != current.end();
      json before = exists ? found->second : json::object();
      const int64_t revision = before.value("revision", int64_t{0});
      for (const char* name : {"kind", "name", "revision", "value_bytes"}) before.erase(name);
      json after = row.partial ? before : row.fields;
      after.update(row.fields);
      const bool secret = row.kind == "secret";
      json merged = before;
      merged.update(after);
      if (exists && !secret && merged == before) continue;
      edits->push_back({{"kind", row.kind}, {"name", row.name}, {"expected_revision", revision}, {"row", after}});
    }
    return kDone;
  }

  /// Sends a request to the administration listener of the node given by --node.
  /// @return the exit code
  int requestNode(const std::string& method, const std::string& path) {
    if (FLAGS_node.empty()) return usageError("--node HOST:PORT is needed");
    transport::HttpRequest request;
    request.method = method;
    request.path = path;
    const auto address = apps::parseAddressOrExit("node", FLAGS_node);
    const auto result = http_.call(address, request, base::milliseconds(FLAGS_timeout_ms));
    std::printf("%s", result.response.body.c_str());
    if (result.response.status == kNotFoundStatus) return kNotFound;
    return result.response.status == kOkStatus ? kDone : kNotAccepted;
  }

  apps::SyncHttp& http_;
  apps::ControlApiClient client_;
};

/// Validates a file offline, with the validator that the controllers use.
int checkFile(const Arguments& arguments) {
  if (arguments.size() != 1) return usageError("check needs a FILE");
  const auto rows = apps::readTableFile(arguments[0]);
  if (!rows.ok()) {
    std::fprintf(stderr, "bad_request_body: %s\n", base::errorText(rows.status()).c_str());
    return kBadInput;
  }
  table::Table table;
  bool unreadable = false;
  for (const auto& fileRow : *rows) {
    const auto key = table::makeKey(table::kindFromName(fileRow.kind), fileRow.name);
    const auto row = table::rowFromJson(key, fileRow.fields);
    if (row.ok()) {
      table.put(table::storeRow(*row, 1));
      continue;
    }
    unreadable = true;
    std::fprintf(stderr, "bad_request_body: %s\n", base::errorText(row.status()).c_str());
  }
  const auto problems = table::checkTable(table);
  for (const auto& problem : problems) {
    std::fprintf(stderr, "%s: %s.%s: %s\n", std::string(table::problemName(problem.kind)).c_str(),
                 table::keyText(problem.row).c_str(), problem.field.c_str(), problem.message.c_str());
  }
  if (unreadable) return kBadInput;
  if (!problems.empty()) return kInvalid;
  std::printf("%zu rows are valid\n", rows->size());
  return kDone;
}

/// Prints the log lines of one call.
int traceCall(Arguments arguments) {
  if (arguments.size() < 2) return usageError("trace needs an ID and at least one FILE");
  const auto callId = arguments[0];
  arguments.erase(arguments.begin());
  return apps::printTrace(callId, arguments) ? kDone : kNotFound;
}

int printCompletion() {
  std::printf(
      "complete -W 'rows get set delete apply diff check history wait status drain held release rollout evacuate "
      "restore "
      "controllers "
      "trace "
      "completion' "
      "driftlugctl\n");
  return kDone;
}

}  // namespace

int main(int argc, char** argv) {
  base::declareRange("timeout_ms", 1, 600'000);
  auto arguments = base::loadSettingsOrExit(
      argc, argv,
      "driftlugctl COMMAND …\n"
      "  rows | get KIND/NAME | set KIND/NAME FIELD=VALUE … | delete KIND/NAME\n"
      "  apply FILE | diff FILE | check FILE | history | wait REVISION | status\n"
      "  drain --node HOST:PORT [--undo]\n"
      "  held --node HOST:PORT | release REQUEST --node HOST:PORT\n"
      "  rollout start SERVICE VERSION --finish_by_ms=N [--wait] | status [SERVICE] | watch SERVICE | abort SERVICE\n"
      "  evacuate ZONE | restore ZONE\n"
      "  controllers list | remove NAME | add|replace NAME HOST FRAME_PORT HTTP_PORT\n"
      "  trace ID FILE …\n"
      "  completion\n"
      "Exit codes: 0 done, 1 rolled back, 2 bad input, 3 conflict, 4 invalid, 5 not accepted, 6 outcome unknown, 7 not "
      "in force in "
      "time, 8 not found",
      true);
  apps::configureLogsFromSettings();
  if (arguments.empty()) return usageError("a command is needed; see --help");
  const auto command = arguments[0];
  arguments.erase(arguments.begin());
  if (command == "check") return checkFile(arguments);
  if (command == "trace") return traceCall(arguments);
  if (command == "completion") return printCompletion();
  const auto controllers = apps::parseAddressesOrExit("controllers", FLAGS_controllers);
  if (controllers.empty()) return usageError("--controllers must name at least one");
  apps::SyncHttp http;
  Commands commands(http, controllers);
  const std::map<std::string, std::function<int(const Arguments&)>> table = {
      {"rows", [&](const Arguments& rest) { return commands.rows(rest); }},
      {"get", [&](const Arguments& rest) { return commands.get(rest); }},
      {"set", [&](const Arguments& rest) { return commands.set(rest); }},
      {"delete", [&](const Arguments& rest) { return commands.remove(rest); }},
      {"apply", [&](const Arguments& rest) { return commands.apply(rest); }},
      {"diff", [&](const Arguments& rest) { return commands.diff(rest); }},
      {"history", [&](const Arguments& rest) { return commands.history(rest); }},
      {"wait", [&](const Arguments& rest) { return commands.wait(rest); }},
      {"status", [&](const Arguments& rest) { return commands.status(rest); }},
      {"drain", [&](const Arguments& rest) { return commands.drain(rest); }},
      {"held", [&](const Arguments& rest) { return commands.held(rest); }},
      {"release", [&](const Arguments& rest) { return commands.release(rest); }},
      {"rollout", [&](const Arguments& rest) { return commands.rollout(rest); }},
      {"evacuate", [&](const Arguments& rest) { return commands.evacuate(rest); }},
      {"restore", [&](const Arguments& rest) { return commands.restore(rest); }},
      {"controllers", [&](const Arguments& rest) { return commands.controllers(rest); }},
  };
  const auto found = table.find(command);
  if (found == table.end()) return usageError("unknown command " + command);
  return found->second(arguments);
}
