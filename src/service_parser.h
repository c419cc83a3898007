#ifndef YUCCAPICK_SRC_SERVICE_PARSER_H_
#define YUCCAPICK_SRC_SERVICE_PARSER_H_

/// @file
/// Parses the files of the services.

#include <map>
#include <string>

#include "config_names.h"
#include "config_reader.h"
#include "yuccapick/config_parser.h"

namespace yuccapick {

class ServiceParser {
 public:
  /// @param known names that the files may refer to; must outlive the parser
  /// @param out gets services and problems; must outlive the parser
  ServiceParser(const KnownNames& known, ParsedConfig& out)
      : known_(known), out_(out) {}

  void Parse(const ConfigFile& file);

 private:
  void ParseIdentity(ConfigReader& reader, const ConfigFile& file,
                     ServiceConfig& service);
  void ParseRoute(const ConfigFile& file, const toml::table& table,
                  ServiceConfig& service);

  const KnownNames& known_;
  ParsedConfig& out_;
  std::map<ServiceId, std::string> service_files_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SRC_SERVICE_PARSER_H_
