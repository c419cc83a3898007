#include "yuccapick/config_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

#include "deployment_parser.h"
#include "service_parser.h"

namespace yuccapick {
namespace {

bool IsFileNamed(const ConfigFile& file, std::string_view name) {
  return file.path == name || file.path.ends_with(fmt::format("/{}", name));
}

}  // namespace

std::string ToString(const ConfigProblem& problem) {
  return fmt::format("{}:{}: {}; {}", problem.file, problem.line,
                     problem.message, problem.remedy);
}

ParsedConfig ParseConfig(const std::vector<ConfigFile>& files) {
  ParsedConfig out;
  const auto deployment = std::find_if(
      files.begin(), files.end(),
      [](const ConfigFile& file) { return file.path == kDeploymentFile; });
  if (deployment == files.end()) {
    out.problems.push_back({std::string(kDeploymentFile), 1, "",
                            "the file is missing",
                            "add it with [teams.NAME] and [models.NAME]"});
    return out;
  }
  const KnownNames known = DeploymentParser(*deployment, out).Parse();
  ServiceParser services(known, out);
  for (const ConfigFile& file : files) {
    if (IsFileNamed(file, kServiceFile)) services.Parse(file);
  }
  std::sort(out.snapshot.services.begin(), out.snapshot.services.end(),
            [](const ServiceConfig& a, const ServiceConfig& b) {
              return a.id < b.id;
            });
  std::stable_sort(out.problems.begin(), out.problems.end(),
                   [](const ConfigProblem& a, const ConfigProblem& b) {
                     return std::tie(a.file, a.line) < std::tie(b.file, b.line);
                   });
  return out;
}

}  // namespace yuccapick
