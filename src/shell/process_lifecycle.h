#ifndef YUCCAPICK_SHELL_PROCESS_LIFECYCLE_H_
#define YUCCAPICK_SHELL_PROCESS_LIFECYCLE_H_

/// @file
/// Start and shutdown of a long-running process: arguments, logs, signals.

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string_view>

#include "shell/settings.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Parses `--settings FILE` and `--help` and loads the settings.
/// @param settings receives the settings
/// @return the exit code if the process should exit, else nothing
std::optional<int> ReadProcessArguments(int argc, char** argv,
                                        std::string_view usage,
                                        ProcessSettings& settings);

/// Configures format and level of the log, and writes it to standard output.
void ConfigureLogs(const ProcessSettings& settings);

/// Returns a new incarnation from the wall clock and random bits.
Incarnation NewIncarnation();

/// Waits on the main thread for a stop signal and then for the drain.
class ProcessLifecycle {
 public:
  ProcessLifecycle();

  /// Blocks until `Stop` is called, a second SIGTERM or SIGINT arrives, or the
  /// drain exceeds the deadline by more than a grace period of 2 s.
  /// @param drain starts the graceful shutdown; called once, on this thread, at
  ///   the first signal
  void Run(std::function<void()> drain, std::chrono::milliseconds deadline);

  /// Makes `Run` return; callable from any thread.
  void Stop();

 private:
  asio::io_context loop_{1};
  asio::signal_set signals_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_PROCESS_LIFECYCLE_H_
