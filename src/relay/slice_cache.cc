#include "relay/slice_cache.h"

namespace driftlug::relay {
namespace {

constexpr size_t kMaxCachedFrames = 64;

}  // namespace

bool CachedSlice::refresh(const table::Table& table) {
  if (!slice_.refresh(table)) return false;
  frames_.clear();
  whole_ = {};
  return true;
}

wire::FramePtr CachedSlice::choose(Encoded* encoded, bool packed) {
  if (!packed) return encoded->plain;
  if (!encoded->packed) encoded->packed = wire::packFrame(encoded->plain);
  return encoded->packed;
}

wire::FramePtr CachedSlice::wholeAt(int64_t revision, bool packed) {
  if (whole_.plain && wholeRevision_ == revision) return choose(&whole_, packed);
  wire::SliceUpdate update;
  update.full = true;
  update.toRevision = revision;
  update.rows = slice_.allRows();
  update.digest = slice_.digest();
  whole_ = {wire::encodeFrame(update), nullptr};
  wholeRevision_ = revision;
  return choose(&whole_, packed);
}

wire::FramePtr CachedSlice::updateFrom(int64_t fromRevision, bool packed) {
  const auto found = frames_.find(fromRevision);
  if (found != frames_.end()) return choose(&found->second, packed);
  wire::SliceUpdate update;
  update.fromRevision = fromRevision;
  update.toRevision = slice_.revision();
  update.rows = slice_.changedSince(fromRevision);
  update.digest = slice_.digest();
  if (frames_.size() >= kMaxCachedFrames) frames_.clear();
  auto& encoded = frames_[fromRevision];
  encoded.plain = wire::encodeFrame(update);
  return choose(&encoded, packed);
}

std::shared_ptr<CachedSlice> SliceCache::get(const table::Interest& interest, const table::Table& table) {
  auto& entry = slices_[interest];
  if (auto slice = entry.lock()) return slice;
  auto slice = std::make_shared<CachedSlice>(interest, table);
  entry = slice;
  return slice;
}

std::vector<std::shared_ptr<CachedSlice>> SliceCache::onTableChange(const table::Table& table,
                                                                    const std::vector<table::RowPtr>& changed,
                                                                    const std::vector<table::RowPtr>& previous) {
  std::vector<std::shared_ptr<CachedSlice>> refreshed;
  for (auto entry = slices_.begin(); entry != slices_.end();) {
    const auto slice = entry->second.lock();
    if (!slice) {
      entry = slices_.erase(entry);
      continue;
    }
    ++entry;
    bool touched = false;
    for (size_t i = 0; i < changed.size() && !touched; ++i) {
      touched = slice->slice().mayContain(*changed[i], previous[i].get());
    }
    if (touched && slice->refresh(table)) refreshed.push_back(slice);
  }
  return refreshed;
}

}  // namespace driftlug::relay
