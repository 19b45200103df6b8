#include "process_group.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

extern char** environ;

namespace driftlug::tools {
namespace {

constexpr int kPollMs = 5;
constexpr int kSignalBase = 128;

/// Claims a block of ports for the lifetime of this process, so that two fleets on one machine never select the same
/// port: a port that is free now may be reserved for a process that another fleet is about to start.
bool claimPortBlock(int block) {
  const auto name = "driftlug-fleet-ports-" + std::to_string(block);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  // Abstract socket name: released when the socket closes, which is deliberately left open until this process exits.
  std::copy(name.begin(), name.end(), &address.sun_path[1]);
  const auto length = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0) return true;
  ::close(fd);
  return false;
}

bool canListen(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  const bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  ::close(fd);
  return free;
}

}  // namespace

ProcessGroup::~ProcessGroup() {
  for (auto& [name, process] : processes_) {
    if (process.pid == 0) continue;
    ::kill(process.pid, SIGKILL);
    collect(&process, true);
  }
}

bool ProcessGroup::start(const std::string& name, const std::vector<std::string>& command) {
  std::vector<char*> arguments;
  for (const auto& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  const auto out = folder_ + "/" + name + ".out";
  const auto log = folder_ + "/" + name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  pid_t pid = 0;
  const int result = posix_spawn(&pid, command[0].c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) return false;
  processes_[name] = {pid, 0, command};
  return true;
}

bool ProcessGroup::startAgain(const std::string& name) {
  // A second instance would conflict with the running one over its ports, and the first could no longer be stopped.
  if (running(name)) return true;
  const auto command = processes_[name].command;
  return start(name, command);
}

void ProcessGroup::collect(Process* process, bool block) {
  if (process->pid == 0) return;
  int status = 0;
  if (::waitpid(process->pid, &status, block ? 0 : WNOHANG) != process->pid) return;
  process->pid = 0;
  process->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
}

void ProcessGroup::signal(const std::string& name, int number) {
  auto& process = processes_[name];
  collect(&process, false);
  if (process.pid != 0) ::kill(process.pid, number);
}

bool ProcessGroup::running(const std::string& name) {
  auto& process = processes_[name];
  collect(&process, false);
  return process.pid != 0;
}

int ProcessGroup::exitCodeOf(const std::string& name) {
  auto& process = processes_[name];
  collect(&process, false);
  return process.exitCode;
}

int ProcessGroup::waitFor(const std::string& name, int timeoutMs) {
  auto& process = processes_[name];
  for (int waited = 0; waited < timeoutMs; waited += kPollMs) {
    collect(&process, false);
    if (process.pid == 0) return process.exitCode;
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  }
  ::kill(process.pid, SIGKILL);
  collect(&process, true);
  return -1;
}

std::string ProcessGroup::output(const std::string& name) const {
  std::ifstream stream(folder_ + "/" + name + ".out");
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

pid_t ProcessGroup::pidOf(const std::string& name) const {
  const auto found = processes_.find(name);
  return found == processes_.end() ? 0 : found->second.pid;
}

ProcessUsage usageOf(pid_t pid) {
  ProcessUsage usage;
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  // Fields are counted after the process name, which may contain spaces.
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  constexpr int kUserTimeField = 12;
  constexpr int kRssField = 22;
  std::string field;
  double ticks = 0;
  for (int i = 1; fields >> field; ++i) {
    if (i == kUserTimeField || i == kUserTimeField + 1) ticks += std::stod(field);
    if (i == kRssField) usage.rssMb = std::stod(field) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
  }
  usage.cpuSeconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
  return usage;
}

std::vector<int> findFreePorts(size_t count) {
  // Below the ephemeral port range: an outgoing connection could otherwise occupy the port of a process that is about
  // to be restarted.
  constexpr int kFirstPort = 12'000;
  constexpr int kBlockPorts = 250;
  constexpr int kBlocks = 80;
  static int block = static_cast<int>(::getpid()) % kBlocks;
  static int position = kBlockPorts;  // next port in the current block; starts at its end to claim the first block
  std::vector<int> ports;
  for (int tried = 0; ports.size() < count && tried <= kBlocks;) {
    if (position == kBlockPorts) {
      ++tried;
      block = (block + 1) % kBlocks;
      position = claimPortBlock(block) ? 0 : kBlockPorts;
      continue;
    }
    const int port = kFirstPort + block * kBlockPorts + position++;
    if (canListen(port)) ports.push_back(port);
  }
  return ports;
}

}  // namespace driftlug::tools
