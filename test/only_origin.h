#ifndef YUCCAPICK_TEST_ONLY_ORIGIN_H_
#define YUCCAPICK_TEST_ONLY_ORIGIN_H_

/// @file
/// Origins of unknown streams where nothing is known of the versions' rows.

#include <optional>

#include "yuccapick/stream_origins.h"
#include "yuccapick/version_record.h"

namespace yuccapick {

/// @return the only version that may have begun an unknown stream
inline std::optional<SoftwareGroup> OnlyOrigin(const StreamOrigins& origins,
                                               const ServiceId& service,
                                               TimePoint now) {
  if (!origins.KnowsHistory(now)) return std::nullopt;
  return VersionRecord().OnlyOrigin(origins.ListedOf(service, now),
                                    std::nullopt);
}

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_ONLY_ORIGIN_H_
