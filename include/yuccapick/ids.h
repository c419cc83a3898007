#ifndef YUCCAPICK_IDS_H_
#define YUCCAPICK_IDS_H_

/// @file
/// Strongly typed identifiers that all modules share.

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace yuccapick {

/// Points in time of the decision code. Shells pass them in; no decision reads
/// a clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// A name of one kind. Names of different kinds do not convert to each other.
template <typename Tag>
struct Name {
  std::string value;

  Name() = default;
  explicit Name(std::string text) : value(std::move(text)) {}

  bool empty() const { return value.empty(); }
  auto operator<=>(const Name&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const Name& name) {
    return H::combine(std::move(h), name.value);
  }
};

/// A number of one kind. Numbers of different kinds do not convert.
template <typename Tag>
struct Number {
  std::uint64_t value = 0;

  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t n) : value(n) {}

  constexpr Number Next() const { return Number(value + 1); }
  constexpr auto operator<=>(const Number&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const Number& number) {
    return H::combine(std::move(h), number.value);
  }
};

using TeamId = Name<struct TeamIdTag>;
using ServiceId = Name<struct ServiceIdTag>;
using ModelId = Name<struct ModelIdTag>;
using AdapterId = Name<struct AdapterIdTag>;
using WeightVersion = Name<struct WeightVersionTag>;
using UpstreamId = Name<struct UpstreamIdTag>;
using InstanceId = Name<struct InstanceIdTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using Region = Name<struct RegionTag>;

/// Idempotency key as the caller gave it; unique within a team and service.
using IdempotencyKey = Name<struct IdempotencyKeyTag>;

/// One life of an upstream or process. A restart takes a higher number, which
/// is never used again.
using Incarnation = Number<struct IncarnationTag>;

/// Rises each time a lease or claim changes hands.
using FencingToken = Number<struct FencingTokenTag>;

/// Version of the configuration in force; only rises.
using ConfigVersion = Number<struct ConfigVersionTag>;

/// One caller's request within a router's life.
using RequestId = Number<struct RequestIdTag>;

/// One attempt to answer a request. Unique over all routers and lives.
using AttemptId = Name<struct AttemptIdTag>;

}  // namespace yuccapick

#endif  // YUCCAPICK_IDS_H_
