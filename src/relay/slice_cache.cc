#include "relay/slice_cache.h"

#include "wire/bulk_frames.h"

namespace driftlug::relay {
namespace {

constexpr size_t kMaxCachedFrames = 64;

}  // namespace

bool CachedSlice::update(const table::Table& table, const table::ChangedRows& rows) {
  const bool changed = slice_.update(table, rows);
  if (changed) dropFrames();
  return changed;
}

void CachedSlice::refresh(const table::Table& table) {
  if (slice_.refresh(table)) dropFrames();
}

void CachedSlice::dropFrames() {
  frames_.clear();
  full_ = {};
}

wire::FramePtr CachedSlice::selectForm(EncodedForms* encoded, bool packed) {
  if (!packed) return encoded->plain;
  if (!encoded->packed) encoded->packed = wire::packFrame(encoded->plain);
  return encoded->packed;
}

wire::FramePtr CachedSlice::fullFrame(int64_t revision, bool packed) {
  if (full_.plain && fullRevision_ == revision) return selectForm(&full_, packed);
  wire::RowUpdateHeader head;
  head.full = true;
  head.toRevision = revision;
  head.digest = slice_.digest();
  full_ = {wire::encodeSliceUpdate(head, slice_.allRows()), nullptr};
  fullRevision_ = revision;
  return selectForm(&full_, packed);
}

wire::FramePtr CachedSlice::deltaFrame(int64_t fromRevision, bool packed) {
  const auto found = frames_.find(fromRevision);
  if (found != frames_.end()) return selectForm(&found->second, packed);
  wire::RowUpdateHeader head;
  head.fromRevision = fromRevision;
  head.toRevision = slice_.revision();
  head.digest = slice_.digest();
  if (frames_.size() >= kMaxCachedFrames) frames_.clear();
  auto& encoded = frames_[fromRevision];
  encoded.plain = wire::encodeSliceUpdate(head, slice_.changedSince(fromRevision));
  return selectForm(&encoded, packed);
}

std::shared_ptr<CachedSlice> SliceCache::get(const table::Interest& wanted, const table::Table& table) {
  // Nodes interested in every host need the same slice, whichever services they list.
  const auto interest = wanted.includesAllHosts() ? table::Interest::allHosts() : wanted;
  auto& entry = slices_[interest];
  if (auto slice = entry.lock()) return slice;
  auto slice = std::make_shared<CachedSlice>(interest, table);
  entry = slice;
  return slice;
}

std::vector<std::shared_ptr<CachedSlice>> SliceCache::onTableChange(const table::Table& table,
                                                                    const table::ChangedRows& rows) {
  std::vector<std::shared_ptr<CachedSlice>> refreshed;
  for (auto entry = slices_.begin(); entry != slices_.end();) {
    const auto slice = entry->second.lock();
    if (!slice) {
      entry = slices_.erase(entry);
      continue;
    }
    ++entry;
    if (slice->update(table, rows)) refreshed.push_back(slice);
  }
  return refreshed;
}

void SliceCache::refresh(const table::Table& table) {
  for (const auto& [interest, entry] : slices_) {
    if (const auto slice = entry.lock()) slice->refresh(table);
  }
}

}  // namespace driftlug::relay
