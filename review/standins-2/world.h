// A small deployment on loopback addresses for the cases of this review: it starts the project's programs with the
// commands of deploy/system.toml and settings filled in from platform/*.toml, plays operator, clients and upstreams,
// and records what was sent, answered and run. Uses the standard library and POSIX only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// ---- record ----

inline std::mutex recordLock;
inline FILE* recordFile = nullptr;

inline void note(const char* format, ...) {
  char text[2000];
  va_list args;
  va_start(args, format);
  vsnprintf(text, sizeof text, format, args);
  va_end(args);
  std::lock_guard<std::mutex> hold(recordLock);
  if (recordFile != nullptr) {
    fprintf(recordFile, "%8.3f %s\n", now(), text);
    fflush(recordFile);
  }
}

// ---- HTTP ----

struct Message {
  int status = 0;  // 0: no whole answer came
  std::string method, target;
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
  std::string body;
  std::string header(const std::string& name) const {
    for (const auto& item : headers) {
      if (item.first == name) return item.second;
    }
    return "";
  }
};

inline sockaddr_in addressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A connection with buffered reads of HTTP messages.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  int fd() const { return fd_; }

  bool write(const std::string& bytes) {
    size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<size_t>(n);
    }
    return true;
  }

  /// Reads one message. @return false if the connection ended or the time was up before it was whole
  bool read(Message* message, bool response, double until) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) return false;
    }
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    if (response) {
      message->status = atoi(line.substr(line.find(' ') + 1).c_str());
    } else {
      std::istringstream parts(line);
      parts >> message->method >> message->target;
    }
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (auto& c : name) c = static_cast<char>(tolower(c));
      const auto value = line.find_first_not_of(' ', colon + 1);
      message->headers.emplace_back(name, value == std::string::npos ? "" : line.substr(value));
    }
    const auto length = static_cast<size_t>(atoll(message->header("content-length").c_str()));
    while (buffer_.size() < length) {
      if (!fill(until)) {
        message->status = 0;
        return false;
      }
    }
    message->body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

  /// @return whether the peer has closed the connection
  bool peerClosed() const {
    pollfd descriptor{fd_, POLLIN | POLLRDHUP, 0};
    if (poll(&descriptor, 1, 0) <= 0) return false;
    return (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

 private:
  bool fill(double until) {
    const double left = until - now();
    if (left <= 0) return false;
    pollfd descriptor{fd_, POLLIN, 0};
    if (poll(&descriptor, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    char bytes[65536];
    const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline std::unique_ptr<Connection> dial(const std::string& ip, int port, double seconds = 1) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto address = addressOf(ip, port);
  int result = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result != 0 && errno == EINPROGRESS) {
    pollfd descriptor{fd, POLLOUT, 0};
    int error = ETIMEDOUT;
    socklen_t size = sizeof error;
    if (poll(&descriptor, 1, static_cast<int>(seconds * 1000)) > 0) getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    result = error == 0 ? 0 : -1;
  }
  if (result != 0) {
    close(fd);
    return nullptr;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return std::make_unique<Connection>(fd);
}

inline std::string requestText(const std::string& method, const std::string& target, const std::string& headers,
                               const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n" + headers;
  if (!body.empty() || method == "PUT" || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// One call on a connection of its own. status 0: no connection, or no whole answer in time.
inline Message call(const std::string& ip, int port, const std::string& method, const std::string& target,
                    const std::string& headers, const std::string& body, double seconds) {
  Message answer;
  const double until = now() + seconds;
  const auto connection = dial(ip, port, seconds);
  if (!connection) return answer;
  const std::string host = headers.find("Host:") == std::string::npos ? "Host: " + ip + "\r\n" : "";
  if (!connection->write(requestText(method, target, host + headers, body))) return answer;
  if (!connection->read(&answer, true, until)) answer.status = 0;
  return answer;
}

/// A server that handles each connection in a thread of its own; the handler returns the whole answer text, or nothing
/// to close the connection.
class Server {
 public:
  using Handler = std::function<std::string(const Message&, Connection&)>;
  Server(const std::string& ip, int port, Handler handler) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(ip, port);
    ok_ = bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && listen(fd_, 512) == 0;
    if (ok_) std::thread([this] { accept(); }).detach();
  }
  bool ok() const { return ok_; }

 private:
  void accept() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      std::thread([this, fd] {
        Connection connection(fd);
        for (;;) {
          Message request;
          if (!connection.read(&request, false, now() + 600)) return;
          const auto answer = handler_(request, connection);
          if (answer.empty() || !connection.write(answer)) return;
        }
      }).detach();
    }
  }
  Handler handler_;
  int fd_ = -1;
  bool ok_ = false;
};

inline std::string answerText(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// ---- settings ----

/// Fills a template as DEPLOY.md tells, for the forms that platform/*.toml use: {{a}} and {{#a}} .. {{/a}}.
inline std::string fillTemplate(std::string text, const std::map<std::string, std::string>& fields) {
  for (size_t at; (at = text.find("{{#")) != std::string::npos;) {
    const auto nameEnd = text.find("}}", at);
    const auto name = text.substr(at + 3, nameEnd - at - 3);
    const auto closing = "{{/" + name + "}}";
    const auto end = text.find(closing, nameEnd);
    const auto inner = text.substr(nameEnd + 2, end - nameEnd - 2);
    const auto given = fields.find(name);
    const bool shown = given != fields.end() && !given->second.empty() && given->second != "false";
    text.replace(at, end + closing.size() - at, shown ? inner : "");
  }
  for (size_t at; (at = text.find("{{")) != std::string::npos;) {
    const auto end = text.find("}}", at);
    const auto given = fields.find(text.substr(at + 2, end - at - 2));
    text.replace(at, end + 2 - at, given == fields.end() ? "" : given->second);
  }
  return text;
}

inline std::string readFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// ---- processes ----

struct Machine {
  std::string id, ip, zone, service;  // service: empty on core machines
  pid_t pid = 0;
  std::string folder;  // of its settings, log and data
  std::string control() const { return ip; }
};

struct Ports {
  int inbound, outbound, ready, control, app, first;  // first of portRange, 16 ports
};

class Deployment {
 public:
  std::string root, folder;
  Ports ports{};
  std::vector<std::unique_ptr<Machine>> core, sidecars;
  std::vector<std::string> seeds;  // control addresses
  std::map<std::string, std::string> bounds = {{"graceS", "6"}, {"budgetSlack", "62"}};

  Deployment(std::string rootFolder, int cores, const std::vector<std::string>& services)
      : root(std::move(rootFolder)) {
    char name[] = "/tmp/driftlug-case-XXXXXX";
    folder = mkdtemp(name);
    current() = this;
    const std::vector<std::string> coreZones = {"wien-a", "wien-a", "wien-b", "graz", "linz"};
    const std::vector<std::string> zones = {"wien-a", "wien-b", "graz", "linz"};
    const std::string block =
        "127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".";
    int last = 0;
    for (int i = 0; i < cores; ++i) {
      core.push_back(std::make_unique<Machine>());
      *core.back() = {"core-" + std::to_string(i + 1), block + std::to_string(++last), coreZones[i % 5], "", 0, ""};
    }
    for (size_t i = 0; i < services.size(); ++i) {
      sidecars.push_back(std::make_unique<Machine>());
      *sidecars.back() = {
          "sidecar-" + std::to_string(i + 1), block + std::to_string(++last), zones[i % 4], services[i], 0, ""};
    }
    spareIp_ = block + std::to_string(++last);
    choosePorts();
    for (int i = 0; i < std::min(3, cores); ++i) seeds.push_back(core[i]->ip + ":" + std::to_string(ports.control));
  }

  /// Ends all processes and removes the folder.
  void end() {
    for (auto* machine : all()) kill(machine, SIGKILL);
    std::error_code ignored;
    if (getenv("KEEP") == nullptr) std::filesystem::remove_all(folder, ignored);
  }

  std::vector<Machine*> all() {
    std::vector<Machine*> machines;
    for (auto& machine : core) machines.push_back(machine.get());
    for (auto& machine : sidecars) machines.push_back(machine.get());
    return machines;
  }

  /// The deployment of this run.
  static Deployment*& current() {
    static Deployment* deployment = nullptr;
    return deployment;
  }

  const std::string& spareIp() const { return spareIp_; }

  void writeSettings(Machine* machine, bool firstStart) {
    if (machine->folder.empty()) machine->folder = folder + "/" + machine->id;
    std::filesystem::create_directories(machine->folder + "/data");
    const auto at = [&](int port) { return machine->ip + ":" + std::to_string(port); };
    std::string seedText;
    for (const auto& seed : seeds) seedText += (seedText.empty() ? "" : ",") + seed;
    std::map<std::string, std::string> fields = {{"nodeId", machine->id},
                                                 {"zone", machine->zone},
                                                 {"ip", machine->ip},
                                                 {"seeds", seedText},
                                                 {"portRange.0", std::to_string(ports.first)},
                                                 {"portRange.1", std::to_string(ports.first + 15)},
                                                 {"listen.inbound", at(ports.inbound)},
                                                 {"listen.outbound", at(ports.outbound)},
                                                 {"listen.ready", at(ports.ready)},
                                                 {"listen.control", at(ports.control)},
                                                 {"appAddr", at(ports.app)},
                                                 {"service", machine->service},
                                                 {"firstStart", firstStart ? "true" : "false"},
                                                 {"faultTolerance.machines", "1"},
                                                 {"limits.linkMbps", "1000.0"},
                                                 {"limits.maxFds", "4100"},
                                                 {"dataDir", machine->folder + "/data"}};
    for (const auto& [name, value] : bounds) fields["bounds." + name] = value;
    const bool sidecar = !machine->service.empty();
    std::ofstream(machine->folder + "/settings.toml")
        << fillTemplate(readFile(root + (sidecar ? "/platform/node.toml" : "/platform/controller.toml")), fields);
  }

  /// Starts the machine's process with the command of the deploy file.
  void start(Machine* machine, bool firstStart) {
    writeSettings(machine, firstStart);
    const bool sidecar = !machine->service.empty();
    const std::string program =
        sidecar ? "target/bin/driftlug-platform-node" : "target/bin/driftlug-platform-controller";
    const std::string settings = machine->folder + "/settings.toml";
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(1);
      const int log = open((machine->folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      if (chdir(root.c_str()) != 0) _exit(1);
      setenv("DRIFTLUG_BOOT", settings.c_str(), 1);
      execl(program.c_str(), program.c_str(), "--config", settings.c_str(), nullptr);
      _exit(127);
    }
    machine->pid = pid;
    note("platform starts %s at %s, firstStart=%s", machine->id.c_str(), machine->ip.c_str(),
         firstStart ? "true" : "false");
  }

  void signal(Machine* machine, int number) {
    if (machine->pid > 0) ::kill(machine->pid, number);
  }

  /// Sends SIGKILL and waits for the end.
  void kill(Machine* machine, int number = SIGKILL) {
    if (machine->pid <= 0) return;
    ::kill(machine->pid, number);
    ::waitpid(machine->pid, nullptr, 0);
    machine->pid = 0;
  }

  bool running(Machine* machine) {
    if (machine->pid <= 0) return false;
    if (waitpid(machine->pid, nullptr, WNOHANG) == machine->pid) machine->pid = 0;
    return machine->pid > 0;
  }

  void wipe(Machine* machine) {
    std::filesystem::remove_all(machine->folder + "/data");
    std::filesystem::create_directories(machine->folder + "/data");
  }

 private:
  bool isFree(const std::string& ip, int port) const {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(ip, port);
    const bool good = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    return good;
  }

  void choosePorts() {
    for (int base = 20000 + getpid() % 8000;; base += 32) {
      bool good = true;
      for (auto* machine : all()) {
        for (int port = base; port < base + 24 && good; ++port) good = isFree(machine->ip, port);
      }
      if (!good) continue;
      ports = {base, base + 1, base + 2, base + 3, base + 4, base + 8};
      return;
    }
  }

  std::string spareIp_;
};

// ---- the operator ----

struct OperatorAnswer {
  int status = 0;
  std::string from;  // ip of the node that gave the last answer
  std::string body;
};

/// One order to one node; follows 307 twice.
inline OperatorAnswer order(const std::string& ip, int port, const std::string& method, const std::string& path,
                            const std::string& body, double seconds = 1) {
  std::string at = ip;
  int atPort = port;
  std::string target = path;
  for (int hop = 0;; ++hop) {
    const auto answer =
        call(at, atPort, method, target, body.empty() ? "" : "Content-Type: application/json\r\n", body, seconds);
    if (answer.status != 307 || hop == 2) return {answer.status, at, answer.body};
    const auto location = answer.header("location");  // http://IP:PORT/path
    const auto hostEnd = location.find(':', 7);
    const auto portEnd = location.find('/', 7);
    if (hostEnd == std::string::npos || portEnd == std::string::npos) return {answer.status, at, answer.body};
    at = location.substr(7, hostEnd - 7);
    atPort = atoi(location.substr(hostEnd + 1, portEnd - hostEnd - 1).c_str());
    target = location.substr(portEnd);
  }
}

struct Route {
  std::string name, host, prefix, type, service;
  int timeoutMs, targetMs, priority, attempts;
};

inline std::string versionText(int version) {
  char text[16];
  snprintf(text, sizeof text, "%08x", version);
  return text;
}

inline std::string configText(int version, int base, const std::vector<Route>& routes,
                              const std::map<std::string, int>& services) {
  std::ostringstream out;
  out << R"({"version":")" << versionText(version) << R"(","baseVersion":")" << versionText(base)
      << R"(","resources":[)";
  for (const auto& route : routes) {
    out << R"({"resourceType":"routes","metadata":{"name":")" << route.name << R"("},"spec":{"host":")" << route.host
        << R"(","pathPrefix":")" << route.prefix << R"(","routeType":")" << route.type << R"(","timeoutMs":)"
        << route.timeoutMs << R"(,"targetLatencyMs":)" << route.targetMs << R"(,"priority":)" << route.priority
        << R"(,"service":")" << route.service << R"(","retryAttempts":)" << route.attempts << "}},";
  }
  for (const auto& [name, connections] : services) {
    out << R"({"resourceType":"services","metadata":{"name":")" << name
        << R"("},"spec":{"healthPath":"/healthz","maxConnections":)" << connections
        << R"(,"protocol":"h1","tls":false}},)";
  }
  out << R"({"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
      << R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})";
  return out.str();
}

/// @return the version in the body of a GET /config; -1 if there is none
inline long versionOf(const std::string& body) {
  const auto at = body.find("\"version\":\"");
  return at == std::string::npos ? -1 : strtol(body.substr(at + 11, 8).c_str(), nullptr, 16);
}

/// Sends an order to the nodes in turn, with a growing pause, until it is acknowledged or the time is up.
inline OperatorAnswer orderUntilTaken(const std::vector<std::string>& ips, int port, const std::string& method,
                                      const std::string& path, const std::string& body, double seconds,
                                      const std::string& what) {
  const double until = now() + seconds;
  double pauseMs = 50;
  OperatorAnswer answer;
  for (size_t turn = 0; now() < until; ++turn) {
    const auto& ip = ips[turn % ips.size()];
    answer = order(ip, port, method, path, body);
    note("operator sends %s to %s: %d from %s", what.c_str(), ip.c_str(), answer.status, answer.from.c_str());
    if (answer.status == 200 || answer.status == 400 || answer.status == 412) return answer;
    sleepMs(static_cast<int>(pauseMs));
    pauseMs = std::min(1000.0, pauseMs * 1.2);
  }
  return answer;
}

// ---- a run ----

/// Records the result, ends all processes that the run started, and exits.
[[noreturn]] inline void verdict(int code, const std::string& why) {
  note("result %d: %s", code, why.c_str());
  printf("%s: %s\n", code == 0 ? "held" : code == 1 ? "broken" : "could not run", why.c_str());
  fflush(stdout);
  if (Deployment::current() != nullptr) Deployment::current()->end();
  _exit(code);  // threads of stand-ins still run
}

/// Opens record.txt in the folder of the case, and limits the time of the run.
/// @return whether the disruption is played: unless TROUBLE is 0
inline bool begin(const std::string& caseFolder, int maxSeconds = 115) {
  recordFile = fopen((caseFolder + "/record.txt").c_str(), "w");
  ::signal(SIGPIPE, SIG_IGN);
  std::thread([maxSeconds] {
    sleepMs(maxSeconds * 1000);
    verdict(2, "the time of the run is up");
  }).detach();
  const char* trouble = getenv("TROUBLE");
  const bool on = trouble == nullptr || std::string(trouble) != "0";
  note("run with TROUBLE=%d", on ? 1 : 0);
  return on;
}

}  // namespace world
