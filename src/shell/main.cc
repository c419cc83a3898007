#include <array>
#include <cstdio>
#include <string_view>

#include "easylogging++.h"
#include "shell/commands.h"

INITIALIZE_EASYLOGGINGPP

namespace {

constexpr std::string_view kVersion = "yuccapick 0.1.0";

constexpr std::string_view kUsage =
    "Usage: yuccapick COMMAND [OPTIONS]\n"
    "\n"
    "Commands:\n"
    "  router   route callers' requests and stream the answers\n"
    "  gateway  route requests in one process that calls upstreams directly\n"
    "  agent    sidecar of one upstream: admission, fence, cache, drain\n"
    "  publish  check a configuration directory and put it into force\n"
    "  check    check a configuration directory and report every error\n"
    "  show     query configuration, upstreams, operations and orders\n"
    "  explain  explain the outcome of one request from log files\n"
    "\n"
    "Options:\n"
    "  --help     print this text, or that of a command\n"
    "  --version  print the version\n";

struct Command {
  std::string_view name;
  int (*run)(int argc, char** argv);
};

constexpr std::array<Command, 7> kCommands{{
    {"router", yuccapick::RunRouter},
    {"gateway", yuccapick::RunGateway},
    {"agent", yuccapick::RunAgent},
    {"publish", yuccapick::RunPublish},
    {"check", yuccapick::RunCheck},
    {"show", yuccapick::RunShow},
    {"explain", yuccapick::RunExplain},
}};

void Print(std::FILE* stream, std::string_view text) {
  std::fwrite(text.data(), 1, text.size(), stream);
}

}  // namespace

int main(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--version") {
    Print(stdout, kVersion);
    Print(stdout, "\n");
    return yuccapick::kExitOk;
  }
  if (name == "--help") {
    Print(stdout, kUsage);
    return yuccapick::kExitOk;
  }
  for (const Command& command : kCommands) {
    if (command.name == name) return command.run(argc - 1, argv + 1);
  }
  Print(stderr, kUsage);
  return yuccapick::kExitUsage;
}
