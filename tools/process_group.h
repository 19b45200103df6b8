/// Starts and signals the child processes of a fleet; other processes are never signalled.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace driftlug::tools {

/// Owns child processes by name; the destructor kills those that still run.
class ProcessGroup {
 public:
  explicit ProcessGroup(std::string folder) : folder_(std::move(folder)) {}
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  /// Starts a program; standard output goes to `FOLDER/NAME.out`, standard error to `FOLDER/NAME.log`.
  /// @return whether it was started
  bool start(const std::string& name, const std::vector<std::string>& command);

  /// Restarts an exited program with the same command; returns true at once if it still runs.
  bool startAgain(const std::string& name);

  /// Sends a signal if the process is running.
  void signal(const std::string& name, int number);

  /// Waits for a process to exit.
  /// @return its exit code, 128 + signal if a signal ended it, -1 if it timed out and was killed
  int waitFor(const std::string& name, int timeoutMs);

  /// @return the exit code of an exited process, 128 + signal if a signal ended it.
  int exitCodeOf(const std::string& name);

  /// @return whether a process is running.
  bool running(const std::string& name);

  /// @return the standard output of a process so far.
  std::string output(const std::string& name) const;

  pid_t pidOf(const std::string& name) const;

  const std::string& folder() const { return folder_; }

 private:
  struct Process {
    pid_t pid = 0;  // 0 once it has been reaped
    int exitCode = 0;
    std::vector<std::string> command;
  };

  void collect(Process* process, bool block);

  std::string folder_;
  std::map<std::string, Process> processes_;
};

/// Resource usage of a process.
struct ProcessUsage {
  double cpuSeconds = 0;  ///< user and system time since its start
  double rssMb = 0;
};

/// @return the usage of a process, zeros if it does not exist.
ProcessUsage usageOf(pid_t pid);

/// @return distinct loopback ports that are currently free; fewer than `count` if there are not enough.
std::vector<int> findFreePorts(size_t count);

}  // namespace driftlug::tools
