#ifndef YUCCAPICK_STORE_CATCH_UP_H_
#define YUCCAPICK_STORE_CATCH_UP_H_

/// @file
/// When a gateway makes the calls that follow a change of the store's
/// generation, so that all gateways together keep the store's rates.

#include <chrono>
#include <cstddef>
#include <optional>

#include "yuccapick/ids.h"
#include "yuccapick/store_generation.h"

namespace yuccapick {

/// Time over which `gateways` spread reads that each of them has to make.
std::chrono::milliseconds StoreReadSpread(std::size_t gateways);
/// Time over which they spread rows that each of them may have to write.
std::chrono::milliseconds StoreWriteSpread(std::size_t gateways);

/// Position of a gateway in the spread times, each from 0 to less than 1.
struct SpreadShare {
  double reads = 0;
  double writes = 0;
};

/// After a change of the generation, the tables are read again, and later the
/// gateway's own rows are written again if they are missing.
class StoreCatchUp {
 public:
  // Commands.

  /// The store's answers name a new generation.
  /// @param gateways number of live gateways, including this one
  /// @param share chosen at random
  void OnGeneration(StoreGeneration generation, std::size_t gateways,
                    const SpreadShare& share, TimePoint now);
  /// A peer knows this generation.
  /// @return true if neither the store nor a peer has told of it before
  bool OnPeerGeneration(StoreGeneration generation, std::size_t gateways,
                        const SpreadShare& share, TimePoint now);
  /// The own rows could not be read.
  void RetryRewrite(TimePoint at) { rewrite_at_ = at; }
  /// @return true once when the tables are to be read again
  bool TakeReread(TimePoint now);
  /// @return true once when missing rows are to be written again
  bool TakeRewrite(TimePoint now);

  // Queries.

  /// Newest generation that the store or a peer has told of.
  StoreGeneration newest() const { return newest_; }

 private:
  StoreGeneration newest_;
  std::optional<TimePoint> reread_at_;
  std::optional<TimePoint> rewrite_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_STORE_CATCH_UP_H_
