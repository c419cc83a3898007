#ifndef YUCCAPICK_UTIL_DETAIL_CAPACITY_SAMPLES_H_
#define YUCCAPICK_UTIL_DETAIL_CAPACITY_SAMPLES_H_

/// @file
/// Sample configuration, upstreams and requests of the capacity measurement.

#include <cstddef>
#include <cstdint>
#include <memory>

#include "yuccapick/config_snapshot.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/router_events.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// A configuration with this many teams, three models and two services.
ConfigPtr SampleConfig(std::size_t teams);

/// The `index`-th engine.
UpstreamInfo SampleEngine(std::size_t index);

/// A report of the `index`-th engine.
/// @param entries digest entries that it adds
AgentReport SampleReport(std::size_t index, std::uint64_t sequence,
                         std::size_t entries);

/// A streamed chat request of one of `teams` teams with a prompt of about
/// eight pieces.
CallerRequest SampleRequest(std::uint64_t id, std::size_t teams);

}  // namespace yuccapick

#endif  // YUCCAPICK_UTIL_DETAIL_CAPACITY_SAMPLES_H_
