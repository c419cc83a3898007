#ifndef YUCCAPICK_ORIGIN_SAVE_QUEUE_H_
#define YUCCAPICK_ORIGIN_SAVE_QUEUE_H_

/// @file
/// Origins of streams that have to be saved in the store.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/stream_origins.h"

namespace yuccapick {

/// Every gateway queues what it knows, and one of them saves it for all. The
/// others keep the latest origins, so that the next saver can save again what
/// the last one may not have saved before it ended.
class OriginSaveQueue {
 public:
  struct Options {
    /// How long an origin is kept that another gateway saves, or that is saved:
    /// longer than it takes to notice that the saver has ended, and than what
    /// the store loses when it comes back from an older copy.
    std::chrono::milliseconds retention{10'000};
    /// Origins of older streams aren't saved any more.
    std::chrono::milliseconds lifetime{30'000};
    std::size_t max_streams = 1U << 20U;
  };

  OriginSaveQueue() = default;
  explicit OriginSaveQueue(Options options) : options_(options) {}

  // Commands.

  void Add(const std::vector<StreamOriginReport>& origins, TimePoint now);
  /// Forgets what is too old.
  /// @param saver this gateway saves the origins for all
  void Expire(bool saver, TimePoint now);
  /// Returns origins to save. Until `OnSaved` or `OnNotSaved` is called, no
  /// others are returned.
  /// @param limit the most streams to return
  std::vector<StreamOriginReport> Take(std::size_t limit);
  void OnSaved();
  void OnNotSaved();
  /// The store may have lost what was saved within `retention`.
  void SaveAgain();
  void SetLifetime(std::chrono::milliseconds lifetime) {
    options_.lifetime = lifetime;
  }

  // Queries.

  bool HasUnsaved() const { return taken_ == 0 && saved_ < entries_.size(); }
  std::size_t size() const { return entries_.size(); }
  /// Streams that were dropped unsaved since there were too many.
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Entry {
    StreamId stream;
    std::uint32_t group = 0;  ///< Position in `groups_`.
    TimePoint added_at;
  };

  std::uint32_t IndexOf(const SoftwareGroup& group);
  void DropFirst();

  Options options_;
  std::vector<SoftwareGroup> groups_;
  std::deque<Entry> entries_;  ///< The oldest first.
  std::size_t saved_ = 0;      ///< Entries at the front that are saved.
  std::size_t taken_ = 0;      ///< Entries after these that are being saved.
  std::uint64_t dropped_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ORIGIN_SAVE_QUEUE_H_
