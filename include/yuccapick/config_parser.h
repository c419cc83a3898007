#ifndef YUCCAPICK_CONFIG_PARSER_H_
#define YUCCAPICK_CONFIG_PARSER_H_

/// @file
/// Reads a deployment's TOML files and checks them as a whole.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "yuccapick/config_snapshot.h"

namespace yuccapick {

/// Name of the file at the root of a configuration directory.
inline constexpr std::string_view kDeploymentFile = "deployment.toml";
/// Name of the file beside each service's code.
inline constexpr std::string_view kServiceFile = "yuccapick.toml";

/// One configuration file. `path` is relative to the configuration directory.
struct ConfigFile {
  std::string path;
  std::string text;
};

/// One fault in a configuration file.
struct ConfigProblem {
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string message;  ///< What is wrong, naming the key or value.
  std::string remedy;   ///< What to do about it.

  bool operator==(const ConfigProblem&) const = default;
};

/// Returns `file:line: message; remedy`.
std::string ToString(const ConfigProblem& problem);

/// Result of a check. The snapshot is meaningful only without problems.
struct ParsedConfig {
  ConfigSnapshot snapshot;
  std::vector<ConfigProblem> problems;

  bool ok() const { return problems.empty(); }
};

/// Parses and checks all files of a deployment; reports every problem at once.
/// @param files one `deployment.toml` and any number of `yuccapick.toml`
/// @return a snapshot without version and content hash
ParsedConfig ParseConfig(const std::vector<ConfigFile>& files);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_PARSER_H_
