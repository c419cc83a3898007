#ifndef YUCCAPICK_CONFIG_REFERENCES_H_
#define YUCCAPICK_CONFIG_REFERENCES_H_

#include "absl/status/status.h"
#include "yuccapick/config_snapshot.h"

namespace yuccapick {

/// Checks that services name only teams, models and adapters that the snapshot
/// holds, as after a merge of two operators' changes.
/// @return an error that names the first dangling reference
absl::Status CheckReferences(const ConfigSnapshot& snapshot);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_REFERENCES_H_
