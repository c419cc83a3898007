#ifndef YUCCAPICK_CONFIG_HEAD_H_
#define YUCCAPICK_CONFIG_HEAD_H_

/// @file
/// The head row of the table: the active configuration version, who published
/// it and how it differs from the previous version.

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/config_documents.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Key of the head row. Each publish advances it from version n to n+1 by
/// compare-and-set.
inline constexpr std::string_view kConfigHeadKey = "config/head";
/// Key prefix of the history rows, one for each published head.
inline constexpr std::string_view kConfigHistoryPrefix = "config/history/";

/// One published configuration.
struct ConfigHead {
  ConfigVersion version;
  std::string index_hash;  ///< Content hash of the index.
  std::string base_hash;   ///< Index hash of the previous version, or empty.
  std::vector<ConfigChange> changes;  ///< Relative to the previous version.
  /// Identifies the publish, so that a publisher whose commit got no response
  /// can tell whether it took effect.
  std::string publish_id;
  std::string operator_name;
  std::chrono::milliseconds published_at{0};  ///< Wall clock, since 1970.
  ConfigVersion restored;  ///< Version whose content was restored, or 0.

  bool operator==(const ConfigHead&) const = default;
};

std::string SerialiseHead(const ConfigHead& head);
absl::StatusOr<ConfigHead> ParseHead(const std::string& bytes);

/// Key of the history row of `version`; keys sort by version.
std::string ConfigHistoryKey(ConfigVersion version);

/// Returns a short description, such as `version 12 by ana`.
std::string Describe(const ConfigHead& head);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_HEAD_H_
