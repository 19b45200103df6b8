/// Secondary indexes over the rows of a table.
#pragma once

#include <set>
#include <string_view>
#include <tuple>

#include "table/row.h"

namespace driftlug::table {

/// Match condition of a route.
struct RouteMatch {
  std::string_view host;
  std::string_view pathPrefix;
  std::string_view method;
};

/// Orders rows by revision, then by key.
struct ByRevision {
  using is_transparent = void;
  bool operator()(const StoredRow* left, const StoredRow* right) const {
    return std::tie(left->revision, left->key.kind, left->key.name) <
           std::tie(right->revision, right->key.kind, right->key.name);
  }
  bool operator()(int64_t revision, const StoredRow* row) const { return revision < row->revision; }
  bool operator()(const StoredRow* row, int64_t revision) const { return row->revision < revision; }
};

/// Orders endpoints or limits by service, then by name.
struct ByService {
  using is_transparent = void;
  static std::string_view serviceOf(const StoredRow* row) {
    return row->__isset.endpointRow ? row->endpointRow.serviceName : row->limitRow.serviceName;
  }
  bool operator()(const StoredRow* left, const StoredRow* right) const {
    const int order = serviceOf(left).compare(serviceOf(right));
    return order != 0 ? order < 0 : left->key.name < right->key.name;
  }
  bool operator()(std::string_view service, const StoredRow* row) const { return service < serviceOf(row); }
  bool operator()(const StoredRow* row, std::string_view service) const { return serviceOf(row) < service; }
};

/// Orders routes by match condition (host, path prefix, method), then by name.
struct ByMatch {
  using is_transparent = void;
  static std::tuple<std::string_view, std::string_view, std::string_view> matchOf(const StoredRow* row) {
    return {row->routeRow.host, row->routeRow.pathPrefix, row->routeRow.method};
  }
  static std::tuple<std::string_view, std::string_view, std::string_view> matchOf(const RouteMatch& match) {
    return {match.host, match.pathPrefix, match.method};
  }
  bool operator()(const StoredRow* left, const StoredRow* right) const {
    const auto order = matchOf(left) <=> matchOf(right);
    return order != 0 ? order < 0 : left->key.name < right->key.name;
  }
  bool operator()(const RouteMatch& match, const StoredRow* row) const { return matchOf(match) < matchOf(row); }
  bool operator()(const StoredRow* row, const RouteMatch& match) const { return matchOf(row) < matchOf(match); }
  bool operator()(std::string_view host, const StoredRow* row) const { return host < row->routeRow.host; }
  bool operator()(const StoredRow* row, std::string_view host) const { return row->routeRow.host < host; }
};

using RevisionIndex = std::set<const StoredRow*, ByRevision>;
using ServiceIndex = std::set<const StoredRow*, ByService>;
using MatchIndex = std::set<const StoredRow*, ByMatch>;

/// Range of index entries that match a lookup; valid until the table changes.
template <typename Index>
class IndexedRows {
 public:
  using Iterator = typename Index::const_iterator;

  IndexedRows(Iterator begin, Iterator end) : begin_(begin), end_(end) {}

  Iterator begin() const { return begin_; }
  Iterator end() const { return end_; }
  bool empty() const { return begin_ == end_; }

 private:
  Iterator begin_;
  Iterator end_;
};

}  // namespace driftlug::table
