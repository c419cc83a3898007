#include "yuccapick/transfer_link.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};

TEST_CASE("Transfers wait for earlier ones, and the wait passes") {
  TransferLink link;
  link.SetRate(TransferLink::Time(0.01));
  CHECK(link.Wait(kStart).count() == 0);
  link.OnTransfer(1'000, kStart);
  link.OnTransfer(1'000, kStart);
  CHECK(link.Wait(kStart).count() == Approx(20.0));
  CHECK(link.Wait(kStart + milliseconds(15)).count() == Approx(5.0));
  CHECK(link.Wait(kStart + milliseconds(25)).count() == 0);
}

}  // namespace
}  // namespace yuccapick
