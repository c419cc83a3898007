#ifndef YUCCAPICK_SHELL_PUBLISH_RUN_H_
#define YUCCAPICK_SHELL_PUBLISH_RUN_H_

/// @file
/// Runs one publish against the platform, and asks every process for its
/// version.

#include <chrono>
#include <string>
#include <vector>

#include "shell/settings.h"
#include "yuccapick/config_publish.h"

namespace yuccapick {

/// Where to publish. Waiting needs the instance list and the secret besides.
struct PublishTarget {
  ProcessSettings settings;
};

/// Publishes and blocks until the result is known or its deadline passed.
PublishResult PublishOnce(const PublishTarget& target, PublishRequest request);

struct InForceResult {
  std::size_t processes = 0;        ///< Live ones on the instance list.
  std::vector<std::string> behind;  ///< Those that did not confirm in time.
  std::chrono::milliseconds after{0};
};

/// Blocks until every live process has `version` or a later one in force.
InForceResult WaitInForce(const PublishTarget& target, ConfigVersion version,
                          std::chrono::milliseconds timeout);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_PUBLISH_RUN_H_
