#ifndef YUCCAPICK_ROUTER_CORE_H_
#define YUCCAPICK_ROUTER_CORE_H_

/// @file
/// The router's decisions: request, admission, claim, placement, attempt,
/// answer.

#include <cstdint>
#include <memory>

#include "yuccapick/guards.h"
#include "yuccapick/ids.h"
#include "yuccapick/router_events.h"

namespace yuccapick {

/// What a router core needs to know of its process.
struct RouterCoreOptions {
  InstanceId instance;
  Incarnation incarnation;  ///< Makes attempt ids unique over lives.
  FailureDomain domain;
  Region region;
  std::uint64_t seed = 0;  ///< Of jitter and sampling.
  Guards guards = {};      ///< Switched off only by mutation tests.
};

/// Decides for every caller's request. Not thread-safe.
class RouterCore {
 public:
  explicit RouterCore(RouterCoreOptions options);
  ~RouterCore();
  RouterCore(const RouterCore&) = delete;
  RouterCore& operator=(const RouterCore&) = delete;

  /// Takes one event and returns what is to be done, in order.
  RouterActions Handle(const RouterEvent& event, TimePoint now);

  /// True once a configuration and a view of the upstreams are in force.
  bool Ready() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ROUTER_CORE_H_
