#ifndef YUCCAPICK_CONFIG_REFERENCES_H_
#define YUCCAPICK_CONFIG_REFERENCES_H_

#include "absl/status/status.h"
#include "yuccapick/config_snapshot.h"

namespace yuccapick {

/// Checks that services refer only to teams, models and adapters of the
/// snapshot, and that no two teams share a token. A merge of two operators'
/// changes can break either.
/// @return an error that names the first violation
absl::Status CheckReferences(const ConfigSnapshot& snapshot);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_REFERENCES_H_
