#ifndef YUCCAPICK_UPSTREAM_PAUSES_H_
#define YUCCAPICK_UPSTREAM_PAUSES_H_

/// @file
/// Upstreams that have asked this gateway for a pause.

#include <chrono>
#include <cstddef>
#include <map>

#include "yuccapick/ids.h"

namespace yuccapick {

/// An upstream that rejects a request may say for how long it wants none from
/// this gateway. Each gateway keeps the pauses that it was asked for itself.
class UpstreamPauses {
 public:
  struct Options {
    /// Longer pauses end after this time, since the upstream may have recovered
    /// or its clock may be wrong.
    std::chrono::milliseconds longest{600'000};
    /// Share of a pause by which it is prolonged at most, so that gateways that
    /// were asked at the same time don't return at the same time.
    double spread = 0.2;
    std::chrono::milliseconds longest_spread{1'000};
    std::size_t max_upstreams = 4'096;
  };

  UpstreamPauses() = default;
  explicit UpstreamPauses(Options options) : options_(options) {}

  // Commands.

  /// The upstream asked for a pause. A later answer replaces an earlier one.
  /// @param draw from 0 to 1: the part of the spread that this pause gets
  /// @return how long the pause lasts
  std::chrono::milliseconds OnAsked(const UpstreamId& upstream,
                                    Incarnation incarnation,
                                    std::chrono::milliseconds pause,
                                    double draw, TimePoint now);
  void Forget(const UpstreamId& upstream) { pauses_.erase(upstream); }
  void OnTick(TimePoint now);

  // Queries.

  /// @return the rest of the pause; zero if there is none
  std::chrono::milliseconds WaitFor(const UpstreamId& upstream,
                                    Incarnation incarnation,
                                    TimePoint now) const;
  std::size_t size() const { return pauses_.size(); }

 private:
  struct Pause {
    Incarnation incarnation;
    TimePoint until;
  };

  Options options_;
  std::map<UpstreamId, Pause> pauses_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_UPSTREAM_PAUSES_H_
