/// Validation of rows, used by the controller before it accepts an edit, by nodes before they activate a slice and by
/// `driftlugctl check`.
#pragma once

#include <string>
#include <vector>

#include "table/table.h"

namespace driftlug::table {

/// Kinds of validation errors.
enum class ProblemKind {
  kBadName,
  kWrongBody,
  kOutOfRange,
  kWeightSum,
  kUnknownReference,
  kDuplicateMatch,
  kShadowedMatch,
  kDanglingReference,
};

/// @return the stable lower-case name of a kind of problem, as used in the API.
std::string_view problemName(ProblemKind kind);

/// One problem with one field of one row.
struct Problem {
  RowKey row;
  std::string field;
  ProblemKind kind;
  std::string message;
};

constexpr int kWeightSum = 100;
constexpr int kMaxConcurrentLimit = 100'000;
constexpr int kMaxQueuedLimit = 100'000;
constexpr int kMaxAttempts = 10;
constexpr int kMaxTimeoutMs = 600'000;
constexpr int kMaxPriority = 1000;
constexpr int kMaxConnectionsLimit = 1'000'000;
constexpr int64_t kMaxIngressBytes = int64_t{1} << 30;
constexpr size_t kMaxNoteBytes = 64 << 10;
constexpr size_t kMaxNameBytes = 200;
constexpr size_t kMaxSecretBytes = 64 << 10;
/// Maximum request rate of a tenant: more than any fleet handles, and far below numeric overflow.
constexpr double kMaxRatePerS = 1e9;

/// @return whether rows of other kinds may refer to rows of this one.
bool isReferenceable(RowKind::type kind);

/// Checks the fields of one row in isolation.
void checkRow(const Row& row, std::vector<Problem>* problems);

/// Checks that all rows that a row refers to exist in the table.
void checkReferences(const Row& row, const Table& table, std::vector<Problem>* problems);

/// Checks the table that results from an edit: the changed rows, their references, and the rows that refer to deleted
/// ones.
/// @param table the table after the edit
/// @param changed the rows that the edit changed, including tombstones
/// @return all problems found; empty when the edit is valid
std::vector<Problem> checkEdit(const Table& table, const std::vector<RowPtr>& changed);

/// Checks every row of a table.
std::vector<Problem> checkTable(const Table& table);

}  // namespace driftlug::table
