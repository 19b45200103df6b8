#include "table/validator.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "table_rows.h"

using namespace driftlug;
using table::ProblemKind;
using table::RowKind;

namespace {

bool has(const std::vector<table::Problem>& problems, ProblemKind kind) {
  return std::any_of(problems.begin(), problems.end(), [&](const auto& problem) { return problem.kind == kind; });
}

table::Table goodTable() {
  table::Table table;
  table.put(test::secretRow("k", 1));
  table.put(test::serviceRow("s", 1, {"k"}));
  table.put(test::routeRow("r", "h", "/a", {{"s", 100}}, 1));
  table.put(test::limitRow("l", "s", 1));
  return table;
}

std::vector<table::Problem> check(const table::Table& table, const table::RowPtr& row) {
  return table::checkEdit(table, {row});
}

}  // namespace

TEST_CASE("a good table has no problems") { CHECK(table::checkTable(goodTable()).empty()); }

TEST_CASE("every kind of problem is found") {
  auto table = goodTable();
  table::RowPtr row;
  ProblemKind expected = ProblemKind::kBadName;
  SECTION("weights that do not sum") {
    row = test::routeRow("r2", "h", "/b", {{"s", 90}}, 2);
    expected = ProblemKind::kWeightSum;
  }
  SECTION("unknown service") {
    row = test::routeRow("r2", "h", "/b", {{"nowhere", 100}}, 2);
    expected = ProblemKind::kUnknownReference;
  }
  SECTION("unknown secret") {
    row = test::serviceRow("s2", 2, {"nothing"});
    expected = ProblemKind::kUnknownReference;
  }
  SECTION("same match as another route") {
    row = test::routeRow("r2", "h", "/a", {{"s", 100}}, 2);
    expected = ProblemKind::kDuplicateMatch;
  }
  SECTION("limit out of range") {
    row = test::limitRow("l2", "s", 2, 0);
    expected = ProblemKind::kOutOfRange;
  }
  SECTION("bad name") { row = test::secretRow("a b", 2); }
  SECTION("body of another kind") {
    wire::Row wrong = *test::secretRow("x", 2);
    wrong.key.kind = RowKind::SERVICE;
    row = table::storeRow(std::move(wrong));
    expected = ProblemKind::kWrongBody;
  }
  table.put(row);
  CHECK(has(check(table, row), expected));
}

TEST_CASE("a delete that leaves a dangling reference is refused") {
  auto table = goodTable();
  table.put(test::deletedRow(RowKind::SECRET, "k", 2));
  CHECK(has(table::checkEdit(table, {table.findAny(table::makeKey(RowKind::SECRET, "k"))}),
            ProblemKind::kDanglingReference));
}

TEST_CASE("all problems of an edit are reported at once") {
  auto table = goodTable();
  table.put(test::routeRow("r2", "", "b", {{"nowhere", 90}}, 2));
  CHECK(table::checkEdit(table, {table.find(table::makeKey(RowKind::ROUTE, "r2"))}).size() >= 4);
}
