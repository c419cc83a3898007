#ifndef YUCCAPICK_CONFIG_HEAD_H_
#define YUCCAPICK_CONFIG_HEAD_H_

/// @file
/// The head row: which configuration is in force, who published it and how it
/// differs from the one before.

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/config_documents.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Key of the row that moves from version n to n+1 by compare-and-set.
inline constexpr std::string_view kConfigHeadKey = "config/head";
/// Prefix of the rows that keep every head there was.
inline constexpr std::string_view kConfigHistoryPrefix = "config/history/";

/// One published configuration.
struct ConfigHead {
  ConfigVersion version;
  std::string index_hash;  ///< Content hash of the index.
  std::string base_hash;   ///< Index hash of the version before; may be empty.
  std::vector<ConfigChange> changes;  ///< From the version before.
  std::string publish_id;             ///< Settles a lost answer.
  std::string operator_name;
  std::chrono::milliseconds published_at{0};  ///< Wall clock, since 1970.
  ConfigVersion restored;  ///< Version whose content was taken up again, or 0.

  bool operator==(const ConfigHead&) const = default;
};

std::string SerialiseHead(const ConfigHead& head);
absl::StatusOr<ConfigHead> ParseHead(const std::string& bytes);

/// Key of the history row of `version`; keys sort by version.
std::string ConfigHistoryKey(ConfigVersion version);

/// Returns `version 12 by ana`.
std::string Describe(const ConfigHead& head);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_HEAD_H_
