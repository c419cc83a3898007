#ifndef YUCCAPICK_CONFIG_DOCUMENTS_H_
#define YUCCAPICK_CONFIG_DOCUMENTS_H_

/// @file
/// Canonical, content-addressed documents of a configuration. A change of one
/// service changes that service's document and the index only.

#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/config_snapshot.h"
#include "yuccapick/sha256.h"

namespace yuccapick {

/// Maps a document's name (`models`, `teams/3`, `services/bookings`) to the
/// hash of its content.
using ConfigIndex = std::map<std::string, std::string>;

/// Document contents by hash.
using ConfigContents = std::map<std::string, std::string>;

/// A configuration split into documents.
struct ConfigDocuments {
  ConfigIndex index;
  ConfigContents contents;

  bool operator==(const ConfigDocuments&) const = default;
};

/// One document that differs between two configurations.
struct ConfigChange {
  std::string name;
  std::string hash;  ///< Empty when the document was removed.

  bool operator==(const ConfigChange&) const = default;
};

/// Splits a snapshot into documents. Equal snapshots give equal bytes.
ConfigDocuments ToDocuments(const ConfigSnapshot& snapshot);

/// Rebuilds a snapshot; its version is left zero.
/// @param contents holds at least the hashes that `index` names
absl::StatusOr<ConfigSnapshot> FromDocuments(const ConfigIndex& index,
                                             const ConfigContents& contents);

/// Returns the canonical encoding of an index. Its hash is the content hash of
/// the whole configuration.
std::string SerialiseIndex(const ConfigIndex& index);
absl::StatusOr<ConfigIndex> ParseIndex(const std::string& bytes);

/// Returns the changes that turn `from` into `to`, sorted by name.
std::vector<ConfigChange> Diff(const ConfigIndex& from, const ConfigIndex& to);

/// Applies changes to an index.
ConfigIndex Apply(ConfigIndex index, const std::vector<ConfigChange>& changes);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_DOCUMENTS_H_
