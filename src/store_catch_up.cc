#include "yuccapick/store_catch_up.h"

#include <algorithm>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReadSpreadPerGateway{2};
constexpr milliseconds kWriteSpreadPerGateway{8};

std::chrono::nanoseconds ShareOf(milliseconds spread, double share) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(spread * share);
}

bool TakeDue(std::optional<TimePoint>& at, TimePoint now) {
  if (!at || now < *at) return false;
  at.reset();
  return true;
}

}  // namespace

milliseconds StoreReadSpread(std::size_t gateways) {
  return kReadSpreadPerGateway * gateways;
}

milliseconds StoreWriteSpread(std::size_t gateways) {
  return kWriteSpreadPerGateway * gateways;
}

void StoreCatchUp::OnGeneration(StoreGeneration generation,
                                std::size_t gateways, const SpreadShare& share,
                                TimePoint now) {
  newest_ = std::max(newest_, generation);
  const milliseconds reads = StoreReadSpread(gateways);
  reread_at_ = now + ShareOf(reads, share.reads);
  // Other gateways hear of the change within the spread of the reads.
  rewrite_at_ = now + reads + ShareOf(StoreWriteSpread(gateways), share.writes);
}

bool StoreCatchUp::OnPeerGeneration(StoreGeneration generation,
                                    std::size_t gateways,
                                    const SpreadShare& share, TimePoint now) {
  if (generation <= newest_) return false;
  newest_ = generation;
  reread_at_ = now + ShareOf(StoreReadSpread(gateways), share.reads);
  return true;
}

bool StoreCatchUp::TakeReread(TimePoint now) {
  return TakeDue(reread_at_, now);
}

bool StoreCatchUp::TakeRewrite(TimePoint now) {
  return TakeDue(rewrite_at_, now);
}

}  // namespace yuccapick
