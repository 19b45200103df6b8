/// Slices by interest, shared by all nodes that ask for the same, with each frame encoded once.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "table/slice.h"
#include "wire/frame.h"

namespace driftlug::relay {

/// One slice and the frames encoded from it.
class CachedSlice {
 public:
  CachedSlice(table::Interest interest, const table::Table& table) : slice_(std::move(interest), table) {}

  const table::Slice& slice() const { return slice_; }
  int64_t revision() const { return slice_.revision(); }

  /// Follows a change of the table.
  /// @return whether the slice changed
  bool update(const table::Table& table, const table::ChangedRows& rows);

  /// Computes the slice anew, after the whole table was replaced.
  void refresh(const table::Table& table);

  /// @param packed whether the node takes packed frames, which spare a narrow link most of a large slice
  /// @return every row, labelled with a table revision at which the slice is as it is now.
  wire::FramePtr fullFrame(int64_t revision, bool packed);

  /// @param packed as above
  /// @return the changes since a revision above 0.
  wire::FramePtr deltaFrame(int64_t fromRevision, bool packed);

 private:
  /// A frame in both forms, each null until asked for.
  struct EncodedForms {
    wire::FramePtr plain;
    wire::FramePtr packed;
  };

  static wire::FramePtr selectForm(EncodedForms* encoded, bool packed);
  void dropFrames();

  table::Slice slice_;
  EncodedForms full_;
  int64_t fullRevision_ = 0;                // label of whole_
  std::map<int64_t, EncodedForms> frames_;  // updates to revision(), by the revision they start from
};

/// All slices that are in use.
class SliceCache {
 public:
  /// @return the slice of an interest, computed from the table when it is new.
  std::shared_ptr<CachedSlice> get(const table::Interest& wanted, const table::Table& table);

  /// Brings slices up to date after rows changed.
  /// @return slices that changed
  std::vector<std::shared_ptr<CachedSlice>> onTableChange(const table::Table& table, const table::ChangedRows& rows);

  /// Computes all slices anew, after the whole table was replaced.
  void refresh(const table::Table& table);

  size_t size() const { return slices_.size(); }

 private:
  std::map<table::Interest, std::weak_ptr<CachedSlice>> slices_;
};

}  // namespace driftlug::relay
