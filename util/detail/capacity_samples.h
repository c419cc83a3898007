#ifndef YUCCAPICK_UTIL_DETAIL_CAPACITY_SAMPLES_H_
#define YUCCAPICK_UTIL_DETAIL_CAPACITY_SAMPLES_H_

/// @file
/// Sample configuration, upstreams and requests for the capacity measurement.

#include <cstddef>
#include <cstdint>
#include <memory>

#include "yuccapick/config_snapshot.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/router_events.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// Returns a configuration with `teams` teams, three models and two services.
ConfigPtr SampleConfig(std::size_t teams);

/// Returns the info of engine `index`.
UpstreamInfo SampleEngine(std::size_t index);

/// Returns a report of engine `index`.
/// @param entries number of digest entries
AgentReport SampleReport(std::size_t index, std::uint64_t sequence,
                         std::size_t entries);

/// Returns a streamed chat request of one of `teams` teams with a prompt of
/// about eight pieces.
CallerRequest SampleRequest(std::uint64_t id, std::size_t teams);

}  // namespace yuccapick

#endif  // YUCCAPICK_UTIL_DETAIL_CAPACITY_SAMPLES_H_
