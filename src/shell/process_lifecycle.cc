#include "shell/process_lifecycle.h"

#include <getopt.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <random>
#include <string>
#include <utility>

#include "easylogging++.h"
#include "shell/commands.h"
#include "yuccapick/incarnation.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kShutdownGracePeriod{2'000};

void PrintTo(std::FILE* stream, std::string_view text) {
  std::fwrite(text.data(), 1, text.size(), stream);
}

}  // namespace

std::optional<int> ReadProcessArguments(int argc, char** argv,
                                        std::string_view usage,
                                        ProcessSettings& settings) {
  static constexpr std::array<option, 3> kOptions{{
      {"settings", required_argument, nullptr, 's'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0},
  }};
  std::string file;
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "s:h", kOptions.data(), nullptr)) !=
         -1) {
    if (flag == 'h') {
      PrintTo(stdout, usage);
      return kExitOk;
    }
    if (flag != 's') {
      PrintTo(stderr, usage);
      return kExitUsage;
    }
    file = optarg;
  }
  if (file.empty() || optind < argc) {
    PrintTo(stderr, usage);
    return kExitUsage;
  }
  absl::StatusOr<ProcessSettings> loaded = LoadSettings(file);
  if (!loaded.ok()) {
    std::string message(loaded.status().message());
    PrintTo(stderr, message + "\n");
    return kExitUsage;
  }
  settings = *std::move(loaded);
  return std::nullopt;
}

void ConfigureLogs(const ProcessSettings& settings) {
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  config.setGlobally(
      el::ConfigurationType::Format,
      "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level instance=" +
          settings.instance.value + " %msg");
  const bool debug = settings.log_level == "debug";
  config.set(el::Level::Debug, el::ConfigurationType::Enabled,
             debug ? "true" : "false");
  if (settings.log_level == "warning") {
    config.set(el::Level::Info, el::ConfigurationType::Enabled, "false");
  }
  el::Loggers::reconfigureAllLoggers(config);
}

Incarnation NewIncarnation() {
  std::random_device device;
  const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
  return MakeIncarnation(
      std::chrono::duration_cast<std::chrono::milliseconds>(unix_time),
      device());
}

ProcessLifecycle::ProcessLifecycle() : signals_(loop_, SIGTERM, SIGINT) {}

void ProcessLifecycle::Run(std::function<void()> drain,
                           std::chrono::milliseconds deadline) {
  asio::steady_timer limit(loop_);
  signals_.async_wait([&](const asio::error_code& ec, int /*signal*/) {
    if (ec) return;
    LOG(INFO) << "event=drain_started deadline_ms=" << deadline.count();
    drain();
    limit.expires_after(deadline + kShutdownGracePeriod);
    limit.async_wait([this](const asio::error_code& stopped) {
      if (!stopped) loop_.stop();
    });
    signals_.async_wait([this](const asio::error_code& /*ec*/, int /*signal*/) {
      loop_.stop();
    });
  });
  loop_.run();
}

void ProcessLifecycle::Stop() {
  asio::post(loop_, [this] { loop_.stop(); });
}

}  // namespace yuccapick
