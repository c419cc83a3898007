#ifndef YUCCAPICK_SHELL_PUBLISH_RUN_H_
#define YUCCAPICK_SHELL_PUBLISH_RUN_H_

/// @file
/// Publishes a configuration to the platform and waits until every process has
/// it in force.

#include <chrono>
#include <string>
#include <vector>

#include "shell/settings.h"
#include "yuccapick/config_publish.h"

namespace yuccapick {

/// Where to publish. `WaitInForce` also needs the URL of the instance list and
/// the secret.
struct PublishTarget {
  ProcessSettings settings;
};

/// Publishes, and blocks until the result is known or the request's deadline
/// passes.
PublishResult PublishOnce(const PublishTarget& target, PublishRequest request);

/// Result of `WaitInForce`.
struct InForceResult {
  std::size_t processes = 0;           ///< Listed and not leaving.
  std::vector<std::string> behind;     ///< Those that did not confirm in time.
  std::chrono::milliseconds after{0};  ///< Time until the wait ended.
};

/// Blocks until every live process has `version` or a later one in force, or
/// the timeout expires.
InForceResult WaitInForce(const PublishTarget& target, ConfigVersion version,
                          std::chrono::milliseconds timeout);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_PUBLISH_RUN_H_
