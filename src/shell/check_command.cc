#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <cstdio>
#include <string>

#include "shell/commands.h"
#include "shell/config_directory.h"
#include "yuccapick/config_documents.h"
#include "yuccapick/config_parser.h"
#include "yuccapick/sha256.h"

namespace yuccapick {
namespace {

constexpr std::string_view kCheckUsage =
    "Usage: yuccapick check DIR\n"
    "\n"
    "Checks DIR/deployment.toml and every yuccapick.toml below DIR and reports "
    "all\nerrors at once.\n"
    "\n"
    "Options:\n"
    "  --help  print this text\n";

int CheckDirectory(const std::string& directory) {
  const auto files = ReadConfigDirectory(directory);
  if (!files.ok()) {
    const std::string text(files.status().message());
    fmt::print(stderr, "{}\n", text);
    return kExitFailed;
  }
  const ParsedConfig parsed = ParseConfig(*files);
  for (const ConfigProblem& problem : parsed.problems) {
    fmt::print(stderr, "{}\n", ToString(problem));
  }
  if (!parsed.ok()) {
    fmt::print(stderr, "{} errors\n", parsed.problems.size());
    return kExitFailed;
  }
  const ConfigDocuments documents = ToDocuments(parsed.snapshot);
  fmt::print("ok: {} services, {} models, {} teams, content {}\n",
             parsed.snapshot.services.size(), parsed.snapshot.models.size(),
             parsed.snapshot.teams.size(),
             Sha256Hex(SerialiseIndex(documents.index)));
  return kExitOk;
}

}  // namespace

int RunCheck(int argc, char** argv) {
  const std::array<option, 2> options{
      {{"help", no_argument, nullptr, 'h'}, {nullptr, 0, nullptr, 0}}};
  optind = 1;
  const int c = getopt_long(argc, argv, "h", options.data(), nullptr);
  if (c == 'h') {
    fmt::print("{}", kCheckUsage);
    return kExitOk;
  }
  if (c != -1 || optind + 1 != argc) {
    fmt::print(stderr, "{}", kCheckUsage);
    return kExitUsage;
  }
  return CheckDirectory(argv[optind]);
}

}  // namespace yuccapick
