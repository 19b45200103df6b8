/// Cache of slices by interest. Nodes with the same interest share a slice, and each frame is encoded once.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "table/slice.h"
#include "wire/frame.h"

namespace driftlug::relay {

/// A slice and the frames encoded from it.
class CachedSlice {
 public:
  CachedSlice(table::Interest interest, const table::Table& table) : slice_(std::move(interest), table) {}

  const table::Slice& slice() const { return slice_; }
  int64_t revision() const { return slice_.revision(); }

  /// Applies a change of the table.
  /// @return whether the slice changed
  bool update(const table::Table& table, const table::ChangedRows& rows);

  /// Recomputes the slice after the whole table was replaced.
  void refresh(const table::Table& table);

  /// @param revision label of the frame: a table revision at which the slice has its current content
  /// @param packed whether the node accepts packed frames, which save most of the bandwidth of a large slice
  /// @return a frame with every row.
  wire::FramePtr fullFrame(int64_t revision, bool packed);

  /// @param fromRevision greater than 0
  /// @param packed whether the node accepts packed frames
  /// @return a frame with the changes since a revision.
  wire::FramePtr deltaFrame(int64_t fromRevision, bool packed);

 private:
  /// A frame in both forms, each null until it is first needed.
  struct EncodedForms {
    wire::FramePtr plain;
    wire::FramePtr packed;
  };

  static wire::FramePtr selectForm(EncodedForms* encoded, bool packed);
  void dropFrames();

  table::Slice slice_;
  EncodedForms full_;
  int64_t fullRevision_ = 0;                // label of full_
  std::map<int64_t, EncodedForms> frames_;  // updates to revision(), by the revision they start from
};

/// The slices that are in use.
class SliceCache {
 public:
  /// @return the slice of an interest, computed from the table on first use.
  std::shared_ptr<CachedSlice> get(const table::Interest& wanted, const table::Table& table);

  /// Updates all slices after rows changed.
  /// @return slices that changed
  std::vector<std::shared_ptr<CachedSlice>> onTableChange(const table::Table& table, const table::ChangedRows& rows);

  /// Recomputes all slices after the whole table was replaced.
  void refresh(const table::Table& table);

  size_t size() const { return slices_.size(); }

 private:
  std::map<table::Interest, std::weak_ptr<CachedSlice>> slices_;
};

}  // namespace driftlug::relay
