#ifndef YUCCAPICK_SHELL_PROCESS_LIFECYCLE_H_
#define YUCCAPICK_SHELL_PROCESS_LIFECYCLE_H_

/// @file
/// What every long-running process does at its start and stop.

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string_view>

#include "shell/settings.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Reads `--settings FILE` and `--help`.
/// @param settings receives the settings
/// @return the exit code if the process should end at once
std::optional<int> ReadProcessArguments(int argc, char** argv,
                                        std::string_view usage,
                                        ProcessSettings& settings);

/// Sets format, level and standard error as the place of the log.
void ConfigureLogs(const ProcessSettings& settings);

/// Returns an incarnation number for this process.
Incarnation NewIncarnation();

/// Waits on the main thread for a stop signal and for the drain to end.
class ProcessLifecycle {
 public:
  ProcessLifecycle();

  /// Blocks until `Stop` was called after a stop signal, a second signal came,
  /// or the drain took longer than the deadline and a grace.
  /// @param drain starts the graceful shutdown; called once, on this thread
  void Run(std::function<void()> drain, std::chrono::milliseconds deadline);

  /// Ends `Run`; from any thread.
  void Stop();

 private:
  asio::io_context loop_{1};
  asio::signal_set signals_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_PROCESS_LIFECYCLE_H_
