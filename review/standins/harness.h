/// Parts that the review's scripts share: processes, settings from the project's templates, HTTP and a record.
///
/// Only POSIX and the C++ standard library are used. Sockets stay on loopback addresses; every wait has a limit.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

extern char** environ;

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegun = Clock::now();

/// Milliseconds since the start of the script.
inline long nowMs() {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kBegun).count());
}

inline void sleepMs(long milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

inline void sleepUntil(long timeMs) {
  if (timeMs > nowMs()) sleepMs(timeMs - nowMs());
}

/// What was sent, answered and run, one line each, with the time.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f ", static_cast<double>(nowMs()) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

struct Address {
  std::string host;
  int port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
  bool operator==(const Address& other) const { return host == other.host && port == other.port; }
};

inline sockaddr_in socketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
  return result;
}

/// @return a port that is free at all the given hosts.
inline int freePort(const std::vector<std::string>& hosts) {
  static std::vector<int> given;
  for (int attempt = 0; attempt < 200; ++attempt) {
    std::vector<int> sockets;
    int port = 0;
    bool good = true;
    for (const auto& host : hosts) {
      const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockets.push_back(socket);
      auto address = socketAddress({host, port});
      good = good && ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
      socklen_t size = sizeof(address);
      ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
      port = ntohs(address.sin_port);
    }
    for (const int socket : sockets) ::close(socket);
    if (!good || std::find(given.begin(), given.end(), port) != given.end()) continue;
    given.push_back(port);
    return port;
  }
  return 0;
}

inline std::string lowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct HttpMessage {
  std::string first;                           // request or status line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

/// A TCP connection with limits for each wait.
class Stream {
 public:
  explicit Stream(int socket = -1) : socket_(socket) {}
  ~Stream() { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool connect(const Address& address, long timeoutMs) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto target = socketAddress(address);
    if (::connect(socket_, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0) {
      if (errno != EINPROGRESS || !wait(POLLOUT, nowMs() + timeoutMs)) return false;
      int error = 0;
      socklen_t size = sizeof(error);
      ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return false;
    }
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return true;
  }

  bool write(const std::string& bytes, long untilMs) {
    size_t done = 0;
    while (done < bytes.size()) {
      const auto sent = ::send(socket_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent > 0) {
        done += static_cast<size_t>(sent);
      } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
        if (!wait(POLLOUT, untilMs)) return false;
      } else if (errno != EINTR) {
        return false;
      }
    }
    return true;
  }

  /// Reads one message with a Content-Length, or without a body.
  bool read(HttpMessage* message, long untilMs) {
    size_t headEnd = std::string::npos;
    while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(untilMs)) return false;
    }
    std::istringstream head(buffer_.substr(0, headEnd));
    std::string line;
    std::getline(head, message->first);
    if (!message->first.empty() && message->first.back() == '\r') message->first.pop_back();
    message->headers.clear();
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      const auto value = line.find_first_not_of(' ', colon + 1);
      message->headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    const size_t length = std::strtoul(message->header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < headEnd + 4 + length) {
      if (!fill(untilMs)) return false;
    }
    message->body = buffer_.substr(headEnd + 4, length);
    buffer_.erase(0, headEnd + 4 + length);
    return true;
  }

  void close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }

 private:
  bool wait(short events, long untilMs) const {
    pollfd descriptor{socket_, events, 0};
    const long left = untilMs - nowMs();
    return left > 0 && ::poll(&descriptor, 1, static_cast<int>(left)) > 0;
  }

  bool fill(long untilMs) {
    char bytes[16384];
    while (true) {
      const auto count = ::recv(socket_, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (count > 0) {
        buffer_.append(bytes, static_cast<size_t>(count));
        return true;
      }
      if (count == 0) return false;
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) return false;
      if (!wait(POLLIN, untilMs)) return false;
    }
  }

  int socket_;
  std::string buffer_;
};

struct Reply {
  int status = 0;  // 0: no whole answer came
  HttpMessage message;
};

/// Sends one request on a connection of its own.
inline Reply call(const Address& address, const std::string& method, const std::string& path,
                  const std::vector<std::string>& headers, const std::string& body, long timeoutMs) {
  Reply reply;
  Stream stream;
  const long until = nowMs() + timeoutMs;
  if (!stream.connect(address, timeoutMs)) return reply;
  std::string request = method + " " + path + " HTTP/1.1\r\n";
  bool host = false;
  for (const auto& header : headers) {
    request += header + "\r\n";
    host = host || lowerCase(header.substr(0, 5)) == "host:";
  }
  if (!host) request += "Host: " + address.text() + "\r\n";
  if (!body.empty() || method == "PUT" || method == "POST") {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  request += "\r\n" + body;
  if (!stream.write(request, until) || !stream.read(&reply.message, until)) return reply;
  if (reply.message.first.size() > 12) reply.status = std::atoi(reply.message.first.c_str() + 9);
  return reply;
}

/// Values for the gaps of a settings template, as DEPLOY.md names them ("portRange.0", "listen.control").
using Fields = std::map<std::string, std::string>;

/// Fills {{name}} and {{#name}} .. {{/name}}.
inline std::string fillTemplate(const std::string& path, const Fields& fields) {
  std::ifstream file(path);
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  for (size_t begin = text.find("{{#"); begin != std::string::npos; begin = text.find("{{#", begin)) {
    const auto nameEnd = text.find("}}", begin);
    const auto name = text.substr(begin + 3, nameEnd - begin - 3);
    const auto closing = "{{/" + name + "}}";
    const auto end = text.find(closing, nameEnd);
    const auto inner = text.substr(nameEnd + 2, end - nameEnd - 2);
    text.replace(begin, end + closing.size() - begin, fields.count(name) > 0 ? inner : "");
  }
  for (size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin)) {
    const auto end = text.find("}}", begin);
    const auto found = fields.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin, found == fields.end() ? "" : found->second);
  }
  return text;
}

/// One role of the deploy file: its command and its settings template.
struct Role {
  std::vector<std::string> run;
  std::string settingsTemplate;
};

/// Reads `run` and `template` of a role from deploy/system.toml.
inline Role readRole(const std::string& root, const std::string& name) {
  Role role;
  std::ifstream file(root + "/deploy/system.toml");
  std::string line;
  bool inside = false;
  while (std::getline(file, line)) {
    if (!line.empty() && line[0] == '[') inside = line == "[roles." + name + "]";
    const auto first = line.find('"');
    const auto last = line.rfind('"');
    if (!inside || first == std::string::npos || first == last) continue;
    const auto value = line.substr(first + 1, last - first - 1);
    if (line.rfind("run ", 0) == 0) {
      std::istringstream words(value);
      for (std::string word; words >> word;) role.run.push_back(word);
    }
    if (line.rfind("template ", 0) == 0) role.settingsTemplate = root + "/" + value;
  }
  return role;
}

constexpr int kMaxProcesses = 64;
inline volatile pid_t runningProcesses[kMaxProcesses];  // 0 where free; read by the signal handler

/// Ends all processes that this script started, and the script itself.
inline void endAll(int) {
  for (const pid_t pid : runningProcesses) {
    if (pid > 0) ::kill(pid, SIGKILL);
  }
  ::_exit(2);
}

/// Makes sure that no process outlives the script, however it ends.
inline void limitTime(unsigned seconds) {
  ::signal(SIGTERM, endAll);
  ::signal(SIGINT, endAll);
  ::signal(SIGHUP, endAll);
  ::signal(SIGALRM, endAll);
  ::signal(SIGPIPE, SIG_IGN);
  ::alarm(seconds);
}

inline void noteProcess(pid_t before, pid_t after) {
  for (auto& pid : runningProcesses) {
    if (pid != before) continue;
    pid = after;
    return;
  }
}

/// A process of the project, started as the platform does: command of the deploy file, settings filled in at each
/// start. Only the place of the settings file differs, since the machine's files are left alone.
class Process {
 public:
  Process(std::string root, std::string folder, const Role& role, Fields fields)
      : root_(std::move(root)), folder_(std::move(folder)), role_(role), fields_(std::move(fields)) {}
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { end(); }

  Fields& fields() { return fields_; }
  pid_t pid() const { return pid_; }

  bool start() {
    const auto settings = folder_ + "/" + fields_["nodeId"] + ".toml";
    std::ofstream(settings) << fillTemplate(role_.settingsTemplate, fields_);
    auto words = role_.run;
    if (words.empty()) return false;
    const auto built = root_ + "/build/release/bin" + words[0].substr(words[0].rfind('/'));
    words[0] = root_ + "/" + words[0];
    if (::access(words[0].c_str(), X_OK) != 0) words[0] = built;
    for (auto& word : words) {
      if (word == "/etc/driftlug/settings.toml") word = settings;
    }
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const auto log = folder_ + "/" + fields_["nodeId"] + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_ = 0;
    const int result = posix_spawn(&pid_, words[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) pid_ = 0;
    if (pid_ != 0) noteProcess(0, pid_);
    return result == 0;
  }

  /// @return whether the process has ended by itself since the last call; its signal or exit code is kept.
  bool hasEnded() {
    int status = 0;
    if (pid_ == 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    noteProcess(std::exchange(pid_, 0), 0);
    lastEnd_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit code " + std::to_string(WEXITSTATUS(status));
    return true;
  }
  const std::string& lastEnd() const { return lastEnd_; }

  void kill() { end(); }

 private:
  void end() {
    if (pid_ == 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    noteProcess(std::exchange(pid_, 0), 0);
  }

  std::string root_;
  std::string folder_;
  Role role_;
  Fields fields_;
  pid_t pid_ = 0;
  std::string lastEnd_;
};

/// Settings that all machines of a small deployment share (the bounds are those of glenmorven-mesh).
inline Fields commonFields(const std::string& id, const std::string& ip, const std::string& zone,
                           const std::string& seeds) {
  return {{"nodeId", id},
          {"ip", ip},
          {"zone", zone},
          {"seeds", seeds},
          {"firstStart", "true"},
          {"faultTolerance.machines", "1"},
          {"bounds.budgetSlack", "60"},
          {"bounds.graceS", "6"},
          {"limits.linkMbps", "1000"},
          {"limits.maxFds", "4100"}};
}

}  // namespace review
