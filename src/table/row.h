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

/// A row as tables hold it: never changed, hashed once.
class StoredRow : public Row {
 public:
  explicit StoredRow(Row row);

  /// As the row, but of another revision.
  StoredRow(const Row& row, int64_t revision);

  const RowHash& hash() const { return hash_; }

 private:
  RowHash hash_;
};

/// Rows in tables are shared between tables and slices.
using RowPtr = std::shared_ptr<const StoredRow>;

/// @return a row that a table can hold.
RowPtr storeRow(Row row);

/// @return a row that a table can hold, as the one given but of another revision.
RowPtr storeRow(const Row& row, int64_t revision);

/// Orders keys by kind, then by name.
struct RowKeyLess {
  bool operator()(const RowKey& left, const RowKey& right) const {
    return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
  }
};

/// Hashes keys, for containers without an order.
struct RowKeyHash {
  size_t operator()(const RowKey& key) const {
    return std::hash<std::string>()(key.name) * 31 + static_cast<size_t>(key.kind);
  }
};

/// @return the name of a kind in paths and files, such as `retry_policy`.
std::string_view kindName(RowKind::type kind);

/// @return the kind of that name, or 0 when there is none.
RowKind::type kindFromName(std::string_view name);

/// @return a key.
RowKey makeKey(RowKind::type kind, std::string name);

/// @return `kind/name`, for logs and messages.
std::string keyText(const RowKey& key);

/// @return whether exactly the body that fits the kind is set (none for a deleted row).
bool bodyMatchesKind(const Row& row);

/// A digest over a set of rows that can be updated row by row in any order.
class DigestSum {
 public:
  void add(const StoredRow& row);
  void remove(const StoredRow& row);

  /// @return the digest of the rows added and not removed.
  Digest value() const;

  bool operator==(const DigestSum&) const = default;

 private:
  uint64_t low_ = 0;   // sum of the low halves of the rows' hashes, modulo 2^64
  uint64_t high_ = 0;  // sum of the high halves
};

}  // namespace driftlug::table
