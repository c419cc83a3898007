#ifndef YUCCAPICK_ROUTER_CORE_H_
#define YUCCAPICK_ROUTER_CORE_H_

/// @file
/// The router's state machine: admission, claims, placement, attempts, retries
/// and answers. It does no I/O.

#include <cstdint>
#include <memory>

#include "yuccapick/guards.h"
#include "yuccapick/ids.h"
#include "yuccapick/router_events.h"

namespace yuccapick {

/// Identity of the router process and settings of its core.
struct RouterCoreOptions {
  InstanceId instance;
  Incarnation incarnation;  ///< Makes attempt ids unique over restarts.
  FailureDomain domain;
  Region region;
  std::uint64_t seed = 0;  ///< Of jitter and random choices.
  Guards guards = {};      ///< Switched off only by mutation tests.
};

/// Handles all callers' requests of one router. Not thread-safe.
class RouterCore {
 public:
  explicit RouterCore(RouterCoreOptions options);
  ~RouterCore();
  RouterCore(const RouterCore&) = delete;
  RouterCore& operator=(const RouterCore&) = delete;

  /// Handles one event and returns the actions to take, in order. If `now` is
  /// earlier than in a previous call, the latest time counts.
  RouterActions Handle(const RouterEvent& event, TimePoint now);

  /// True if a configuration and at least one upstream are known and no drain
  /// was requested.
  bool Ready() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ROUTER_CORE_H_
