/// Simulated operators: they edit rows, submit competing edits, lose answers and resend edits.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "simulation/cluster.h"

namespace driftlug::simulation {

/// Settings of the simulated operators.
struct OperatorOptions {
  base::TimePoint from{};
  base::TimePoint until{};
  base::Duration meanGap = base::milliseconds(1500);        ///< between edits
  base::Duration answerTimeout = base::milliseconds(1500);  ///< before an edit is sent again
  double lostAnswers = 0.1;                                 ///< share of answers that never arrive
  double races = 0.2;                             ///< share of edits that are sent together with a competing edit
  double invalidEdits = 0.1;                      ///< share of edits that must be rejected
  base::Duration oneWay = base::milliseconds(1);  ///< latency between an operator and a controller, one way
};

/// Counts of edits and of the answers to them.
struct OperatorCounters {
  int64_t edits = 0;
  int64_t resends = 0;
  int64_t accepted = 0;
  int64_t conflicts = 0;
  int64_t invalid = 0;
  int64_t unanswered = 0;  ///< still without a final answer at the end of the run
};

/// Sends edits until each has a final answer, and reports every answer to the checker.
class Operators {
 public:
  Operators(Cluster& cluster, OperatorOptions options);

  /// Submits the initial rows of the plan, then starts editing.
  void start();

  /// @return the number of edits without a final answer.
  size_t unanswered() const { return pendingEdits_.size(); }

  const OperatorCounters& counters() const { return counters_; }

  /// Sets a hook that is called when an operator receives the acceptance of an edit.
  void onAccepted(std::function<void()> hook) { acceptedHook_ = std::move(hook); }

  /// Sends one edit now.
  void submit(wire::EditCommand edit);

 private:
  struct PendingEdit {
    wire::EditCommand edit;
    int attempts = 0;
  };

  void editNow();
  void attempt(const std::string& requestId);
  void onAnswer(const std::string& requestId, const controller::EditAnswer& answer);
  wire::EditCommand drawEdit(const table::Table& known);
  wire::Mutation changeOf(const table::Row& row);
  wire::Mutation changeSecretsOf(const table::Row& service, const table::Table& known);
  void addBundle(wire::EditCommand* edit);
  void removeBundle(const table::Table& known, wire::EditCommand* edit);
  void breakReference(const table::Table& known, wire::EditCommand* edit);
  std::string nextRequestId();

  Cluster& cluster_;
  OperatorOptions options_;
  base::RandomSource random_;
  std::map<std::string, PendingEdit> pendingEdits_;  // by request id
  int64_t sequence_ = 0;
  size_t preferred_ = 0;  // index of the controller to try first
  OperatorCounters counters_;
  std::function<void()> acceptedHook_;  // may be empty
};

}  // namespace driftlug::simulation
