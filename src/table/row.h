/// Rows of the configuration table: keys, encodings and digests.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

#include "wire/gen/driftlug_types.h"

namespace driftlug::table {

using wire::Digest;
using wire::Row;
using wire::RowKey;
using wire::RowKind;

/// Hash of a row's encoding.
struct RowHash {
  uint64_t low = 0;
  uint64_t high = 0;
};

/// An immutable row with its hash.
class StoredRow : public Row {
 public:
  explicit StoredRow(Row row);

  /// Copies a row under another revision.
  StoredRow(const Row& row, int64_t revision);

  const RowHash& hash() const { return hash_; }

 private:
  RowHash hash_;
};

/// Rows are shared between tables and slices.
using RowPtr = std::shared_ptr<const StoredRow>;

/// @return an immutable row for use in tables.
RowPtr storeRow(Row row);

/// @return an immutable copy of a row under another revision.
RowPtr storeRow(const Row& row, int64_t revision);

/// Orders keys by kind, then by name.
struct RowKeyLess {
  bool operator()(const RowKey& left, const RowKey& right) const {
    return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
  }
};

/// Hashes keys for unordered containers.
struct RowKeyHash {
  size_t operator()(const RowKey& key) const {
    return std::hash<std::string>()(key.name) * 31 + static_cast<size_t>(key.kind);
  }
};

/// @return the name of a kind as used in paths and files, such as `retry_policy`.
std::string_view kindName(RowKind::type kind);

/// @return the kind with this name; 0 when there is none.
RowKind::type kindFromName(std::string_view name);

/// @return the key of a kind and a name.
RowKey makeKey(RowKind::type kind, std::string name);

/// @return `kind/name`, for logs and messages.
std::string keyText(const RowKey& key);

/// @return whether exactly the body of the row's kind is set (none for a deleted row).
bool bodyMatchesKind(const Row& row);

/// Digest over a set of rows, updated incrementally and independent of the order of rows.
class DigestSum {
 public:
  void add(const StoredRow& row);
  void remove(const StoredRow& row);

  /// @return the digest of the rows that were added and not removed.
  Digest value() const;

  bool operator==(const DigestSum&) const = default;

 private:
  uint64_t low_ = 0;   // sum of the low halves of the rows' hashes, modulo 2^64
  uint64_t high_ = 0;  // sum of the high halves
};

}  // namespace driftlug::table
