#ifndef YUCCAPICK_IDS_H_
#define YUCCAPICK_IDS_H_

/// @file
/// Strongly typed identifiers shared by all modules.

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace yuccapick {

/// Time of the state machines (cores). Their callers pass it in; the cores
/// never read a clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// String identifier. Identifiers with different tags do not convert to each
/// other.
template <typename Tag>
struct StringId {
  std::string value;

  StringId() = default;
  explicit StringId(std::string text) : value(std::move(text)) {}

  bool empty() const { return value.empty(); }
  auto operator<=>(const StringId&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const StringId& name) {
    return H::combine(std::move(h), name.value);
  }
};

/// Numeric identifier. Identifiers with different tags do not convert to each
/// other.
template <typename Tag>
struct NumericId {
  std::uint64_t value = 0;

  constexpr NumericId() = default;
  constexpr explicit NumericId(std::uint64_t n) : value(n) {}

  constexpr NumericId Next() const { return NumericId(value + 1); }
  constexpr auto operator<=>(const NumericId&) const = default;

  template <typename H>
  friend H AbslHashValue(H h, const NumericId& number) {
    return H::combine(std::move(h), number.value);
  }
};

using TeamId = StringId<struct TeamIdTag>;
using ServiceId = StringId<struct ServiceIdTag>;
using ModelId = StringId<struct ModelIdTag>;
using AdapterId = StringId<struct AdapterIdTag>;
using WeightVersion = StringId<struct WeightVersionTag>;
/// Version of an upstream's program, not of its weights.
using SoftwareVersion = StringId<struct SoftwareVersionTag>;
using UpstreamId = StringId<struct UpstreamIdTag>;
using InstanceId = StringId<struct InstanceIdTag>;
using FailureDomain = StringId<struct FailureDomainTag>;
using Region = StringId<struct RegionTag>;

/// Idempotency key as the caller gave it; unique within a team and service.
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;

/// One run of an upstream or process. Each restart takes a higher number;
/// numbers are never reused.
using Incarnation = NumericId<struct IncarnationTag>;

/// Increases each time a lease or claim changes its holder.
using FencingToken = NumericId<struct FencingTokenTag>;

/// Version of a configuration; only increases.
using ConfigVersion = NumericId<struct ConfigVersionTag>;

/// A caller's request; unique within one incarnation of a router.
using RequestId = NumericId<struct RequestIdTag>;

/// One attempt to answer a request; unique over all routers and incarnations.
using AttemptId = StringId<struct AttemptIdTag>;

}  // namespace yuccapick

#endif  // YUCCAPICK_IDS_H_
