#ifndef YUCCAPICK_SHELL_CONFIG_DIRECTORY_H_
#define YUCCAPICK_SHELL_CONFIG_DIRECTORY_H_

/// @file
/// Reads the configuration files below a directory.

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/config_parser.h"

namespace yuccapick {

/// Reads `deployment.toml` in `directory` and every `yuccapick.toml` below it.
/// @return the files sorted by path, or an error if the directory cannot be
///   listed or a file cannot be read
absl::StatusOr<std::vector<ConfigFile>> ReadConfigDirectory(
    const std::string& directory);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_CONFIG_DIRECTORY_H_
