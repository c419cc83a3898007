#ifndef YUCCAPICK_SHELL_CONFIG_DIRECTORY_H_
#define YUCCAPICK_SHELL_CONFIG_DIRECTORY_H_

/// @file
/// Collects the configuration files below a directory.

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/config_parser.h"

namespace yuccapick {

/// Reads `deployment.toml` of `directory` and each `yuccapick.toml` below it,
/// sorted by path.
absl::StatusOr<std::vector<ConfigFile>> ReadConfigDirectory(
    const std::string& directory);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_CONFIG_DIRECTORY_H_
