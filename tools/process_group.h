/// The processes that a fleet run has started; nothing else is ever signalled.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace driftlug::tools {

/// Starts processes and ends just those.
class ProcessGroup {
 public:
  explicit ProcessGroup(std::string folder) : folder_(std::move(folder)) {}
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  /// Starts a program; its output goes to `FOLDER/NAME.out` and `NAME.log`.
  /// @return whether it was started
  bool start(const std::string& name, const std::vector<std::string>& command);

  /// Starts a program again with the same command.
  bool startAgain(const std::string& name);

  /// Sends a signal, if the process runs.
  void signal(const std::string& name, int number);

  /// Waits for the end of a process.
  /// @return its exit code, 128 + signal when it was killed, -1 when it did not end in time and was killed
  int waitFor(const std::string& name, int timeoutMs);

  /// @return the exit code of a process that has ended, 128 + signal when it was killed.
  int exitCodeOf(const std::string& name);

  /// @return whether a process runs.
  bool running(const std::string& name);

  /// @return what a process wrote to its standard output.
  std::string output(const std::string& name) const;

  pid_t pidOf(const std::string& name) const;

  const std::string& folder() const { return folder_; }

 private:
  struct Process {
    pid_t pid = 0;  // 0 once it has ended and was waited for
    int exitCode = 0;
    std::vector<std::string> command;
  };

  void collect(Process* process, bool block);

  std::string folder_;
  std::map<std::string, Process> processes_;
};

/// What one process has used since it started.
struct ProcessUsage {
  double cpuSeconds = 0;
  double rssMb = 0;
};

/// @return what a process has used, zeros when there is none.
ProcessUsage usageOf(pid_t pid);

/// @return ports on loopback that are free now, all different.
std::vector<int> findFreePorts(size_t count);

}  // namespace driftlug::tools
