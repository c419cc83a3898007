#include "yuccapick/error.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace yuccapick {
namespace {

TEST_CASE("A status names the kind, the execution state and the remedy") {
  const Error error{ErrorKind::kDraining, Execution::kNotRun,
                    "router-1 is draining; send the request again",
                    std::chrono::milliseconds(100)};
  const absl::Status status = ToStatus(error);
  CHECK(absl::IsUnavailable(status));
  CHECK(status.message() ==
        "draining (not_run): router-1 is draining; send the request again");
}

TEST_CASE("Overload and lost outcomes have different HTTP statuses") {
  CHECK(HttpStatusOf(ErrorKind::kOverloaded) == 429);
  CHECK(HttpStatusOf(ErrorKind::kOutcomeUnknown) == 502);
  CHECK(HttpStatusOf(ErrorKind::kKeyReused) == 422);
}

}  // namespace
}  // namespace yuccapick
