#ifndef YUCCAPICK_SRC_DEPLOYMENT_PARSER_H_
#define YUCCAPICK_SRC_DEPLOYMENT_PARSER_H_

/// @file
/// Parses the file that defines the deployment's teams and models.

#include <map>
#include <string>

#include "config_names.h"
#include "config_reader.h"
#include "yuccapick/config_parser.h"

namespace yuccapick {

class DeploymentParser {
 public:
  /// @param out gets teams, models and problems; must outlive the parser, like
  ///   `file`
  DeploymentParser(const ConfigFile& file, ParsedConfig& out)
      : file_(file), out_(out) {}

  /// @return the names that the services' files can refer to; empty if the file
  ///   cannot be read
  KnownNames Parse();

 private:
  void ParseTeam(const ConfigText& name, const toml::table& table);
  void ParseTokens(ConfigReader& reader, const ConfigText& name,
                   TeamConfig& team);
  void ParseModel(const ConfigText& name, const toml::table& table);
  void ParseAdapters(ConfigReader& reader, ModelConfig& model);

  const ConfigFile& file_;
  ParsedConfig& out_;
  KnownNames known_;
  std::map<std::string, TeamId> token_owners_;  ///< By token hash.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SRC_DEPLOYMENT_PARSER_H_
