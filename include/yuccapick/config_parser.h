#ifndef YUCCAPICK_CONFIG_PARSER_H_
#define YUCCAPICK_CONFIG_PARSER_H_

/// @file
/// Parses the TOML files of a deployment and validates them together.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "yuccapick/config_snapshot.h"

namespace yuccapick {

/// Name of the file at the root of a configuration directory.
inline constexpr std::string_view kDeploymentFile = "deployment.toml";
/// Name of the file in each service's directory.
inline constexpr std::string_view kServiceFile = "yuccapick.toml";

/// One configuration file. `path` is relative to the configuration directory.
struct ConfigFile {
  std::string path;
  std::string text;
};

/// An error in a configuration file.
struct ConfigProblem {
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string message;  ///< States the error and the key or value.
  std::string remedy;   ///< How to fix it.

  bool operator==(const ConfigProblem&) const = default;
};

/// Returns `file:line: message; remedy`.
std::string ToString(const ConfigProblem& problem);

/// Result of `ParseConfig`. The snapshot is valid only if `ok()`.
struct ParsedConfig {
  ConfigSnapshot snapshot;
  std::vector<ConfigProblem> problems;

  bool ok() const { return problems.empty(); }
};

/// Parses and validates all files of a deployment; reports all problems
/// together.
/// @param files one `deployment.toml` and any number of `yuccapick.toml`
/// @return a snapshot whose version and content hash are not set
ParsedConfig ParseConfig(const std::vector<ConfigFile>& files);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_PARSER_H_
