#ifndef YUCCAPICK_RECENT_UPSTREAMS_H_
#define YUCCAPICK_RECENT_UPSTREAMS_H_

/// @file
/// What is remembered of a limited number of upstreams.

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Keeps a value for each upstream. If there are too many, the one that was put
/// first is forgotten.
/// @tparam T value type
template <typename T>
class RecentUpstreams {
 public:
  /// @param limit largest number of upstreams, at least 1
  explicit RecentUpstreams(std::size_t limit) : limit_(limit) {}

  /// Sets the value of an upstream, which counts as new from now on.
  void Put(const UpstreamId& id, T value) {
    Erase(id);
    if (values_.size() >= limit_) EraseOldest();
    const std::uint64_t order = next_order_++;
    values_.emplace(id, Value{std::move(value), order});
    by_age_.emplace(order, id);
  }

  void Erase(const UpstreamId& id) {
    const auto it = values_.find(id);
    if (it == values_.end()) return;
    const std::uint64_t order = it->second.order;
    values_.erase(it);
    by_age_.erase(order);
  }

  /// @return the value of the upstream, or null
  const T* Find(const UpstreamId& id) const {
    const auto it = values_.find(id);
    return it == values_.end() ? nullptr : &it->second.value;
  }

 private:
  void EraseOldest() {
    const UpstreamId oldest = by_age_.begin()->second;
    Erase(oldest);
  }

  struct Value {
    T value;
    std::uint64_t order;  ///< Rises with each `Put`.
  };

  std::size_t limit_;
  std::map<UpstreamId, Value> values_;
  std::map<std::uint64_t, UpstreamId> by_age_;
  std::uint64_t next_order_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_RECENT_UPSTREAMS_H_
