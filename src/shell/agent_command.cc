#include <cstdio>
#include <random>
#include <string>
#include <string_view>

#include "shell/agent_process.h"
#include "shell/commands.h"
#include "shell/process_lifecycle.h"

namespace yuccapick {
namespace {

constexpr std::string_view kUsage =
    "Usage: yuccapick agent --settings FILE\n"
    "\n"
    "Runs as the sidecar of one upstream and is the only route to it.\n"
    "\n"
    "Options:\n"
    "  --settings FILE  TOML settings of this process\n"
    "  --help           print this text\n"
    "\n"
    "SIGTERM drains and ends the process with exit code 0.\n";

}  // namespace

int RunAgent(int argc, char** argv) {
  ProcessSettings settings;
  if (auto code = ReadProcessArguments(argc, argv, kUsage, settings)) {
    return *code;
  }
  ConfigureLogs(settings);
  ProcessLifecycle lifecycle;
  AgentProcess agent(settings, NewIncarnation(), std::random_device{}(),
                     [&lifecycle] { lifecycle.Stop(); });
  const absl::Status status = agent.Start();
  if (!status.ok()) {
    const std::string message(status.message());
    std::fprintf(stderr, "yuccapick agent: %s\n", message.c_str());
    return kExitFailed;
  }
  lifecycle.Run([&agent] { agent.Drain(); }, settings.drain_deadline);
  agent.Stop();
  return kExitOk;
}

}  // namespace yuccapick
