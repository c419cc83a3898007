#include <getopt.h>
#include <malloc.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <string>

#include "gateway/gateway_process.h"
#include "platform/settings_file.h"
#include "shell/commands.h"
#include "shell/process_lifecycle.h"

namespace yuccapick {
namespace {

constexpr const char* kUsage =
    "Usage: yuccapick gateway [--settings FILE]\n"
    "\n"
    "Takes callers' requests and calls upstreams directly, on one event loop.\n"
    "SIGTERM stops it gracefully; SIGHUP makes it read its settings again.\n"
    "\n"
    "Options:\n"
    "  --settings FILE  settings as the platform writes them; by default the\n"
    "                   file that the platform names in the environment\n"
    "  --check          read the settings, report errors, and exit\n"
    "  --help           print this text\n";

struct Arguments {
  std::string settings_path = platform::SettingsPath();
  bool check_only = false;
  std::optional<int> exit_code;
};

Arguments ParseArguments(int argc, char** argv) {
  static constexpr std::array<option, 4> kOptions{{
      {"settings", required_argument, nullptr, 's'},
      {"check", no_argument, nullptr, 'c'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0},
  }};
  Arguments arguments;
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "s:ch", kOptions.data(), nullptr)) !=
         -1) {
    switch (flag) {
      case 's':
        arguments.settings_path = optarg;
        break;
      case 'c':
        arguments.check_only = true;
        break;
      case 'h':
        std::fputs(kUsage, stdout);
        arguments.exit_code = kExitOk;
        break;
      default:
        std::fputs(kUsage, stderr);
        arguments.exit_code = kExitUsage;
    }
  }
  if (optind < argc || arguments.settings_path.empty()) {
    std::fputs(kUsage, stderr);
    arguments.exit_code = kExitUsage;
  }
  return arguments;
}

/// Larger blocks are mapped on their own and returned to the system when they
/// are freed. The C library raises this threshold by itself as large blocks are
/// freed, and then keeps their memory: bodies of 4 MB left 142 MB resident.
constexpr int kMappedBlockBytes = 131'072;

/// Handles signals: SIGHUP reloads the settings, SIGTERM and SIGINT drain the
/// gateway and stop the loop.
class SignalWatch {
 public:
  SignalWatch(asio::io_context& loop, GatewayProcess& process,
              std::string settings_path)
      : loop_(loop),
        process_(process),
        settings_path_(std::move(settings_path)),
        signals_(loop, SIGTERM, SIGINT, SIGHUP) {}

  void Wait() {
    signals_.async_wait([this](const asio::error_code& ec, int signal) {
      if (ec) return;
      if (signal == SIGHUP) {
        Reload();
      } else {
        process_.Drain([this] { loop_.stop(); });
      }
      Wait();
    });
  }

 private:
  void Reload() {
    const auto settings = platform::LoadSettingsFile(settings_path_);
    if (settings.ok()) return process_.OnSettingsChanged(*settings);
    std::fprintf(stderr, "%s\n", settings.status().message().data());
  }

  asio::io_context& loop_;
  GatewayProcess& process_;
  std::string settings_path_;
  asio::signal_set signals_;
};

}  // namespace

int RunGateway(int argc, char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  if (arguments.exit_code) return *arguments.exit_code;
  auto settings = platform::LoadSettingsFile(arguments.settings_path);
  if (!settings.ok()) {
    std::fprintf(stderr, "%s\n", settings.status().message().data());
    return kExitUsage;
  }
  if (arguments.check_only) return kExitOk;
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context loop(1);
  GatewayProcess process(loop, *std::move(settings), NewIncarnation());
  const absl::Status status = process.Start();
  if (!status.ok()) {
    std::fprintf(stderr, "%s\n", status.message().data());
    return kExitFailed;
  }
  SignalWatch signals(loop, process, arguments.settings_path);
  signals.Wait();
  loop.run();
  return kExitOk;
}

}  // namespace yuccapick
