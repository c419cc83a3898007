#include <cstdio>
#include <random>
#include <string_view>

#include "easylogging++.h"
#include "shell/commands.h"
#include "shell/process_lifecycle.h"
#include "shell/router_process.h"

namespace yuccapick {
namespace {

constexpr std::string_view kUsage =
    "Usage: yuccapick router --settings FILE\n"
    "\n"
    "Routes callers' requests to upstreams and streams the answers.\n"
    "SIGTERM or SIGINT stops it gracefully.\n"
    "\n"
    "Options:\n"
    "  --settings FILE  process settings (TOML)\n"
    "  --help           print this text\n";

}  // namespace

int RunRouter(int argc, char** argv) {
  ProcessSettings settings;
  const auto early = ReadProcessArguments(argc, argv, kUsage, settings);
  if (early.has_value()) return *early;
  ConfigureLogs(settings);

  ProcessLifecycle lifecycle;
  RouterProcess process(settings, NewIncarnation(), std::random_device{}(),
                        [&lifecycle] { lifecycle.Stop(); });
  const absl::Status status = process.Start();
  if (!status.ok()) {
    std::fprintf(stderr, "%s\n", status.ToString().c_str());
    return kExitFailed;
  }
  LOG(INFO) << "event=router_started instance=" << settings.instance.value;
  lifecycle.Run([&process] { process.Drain(); }, settings.drain_deadline);
  process.Stop();
  LOG(INFO) << "event=router_stopped instance=" << settings.instance.value;
  return kExitOk;
}

}  // namespace yuccapick
