#ifndef YUCCAPICK_STANDIN_OPTIONS_H_
#define YUCCAPICK_STANDIN_OPTIONS_H_

/// @file
/// Command-line options of the stand-ins.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccapick::standin {

/// Model or adapter weights loaded in an engine.
struct Weights {
  std::string model;
  std::string adapter;
  std::string version;

  bool SameModel(const Weights& other) const {
    return model == other.model && adapter == other.adapter;
  }
};

struct Options {
  std::string role;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::uint64_t seed = 1;

  // Engine.
  std::vector<Weights> loaded;
  double prefill_tokens_per_second = 20'000;  ///< 0: prefill takes no time.
  std::chrono::microseconds token_interval{10'000};
  std::size_t max_running = 256;
  std::uint64_t cache_blocks = 512;
  std::uint64_t block_tokens = 4096;
  std::chrono::milliseconds cache_idle{0};
  std::chrono::milliseconds load_time{400};
  bool check_fence = false;
  std::string weights_host;
  std::uint16_t weights_port = 0;
  std::string engine_role = "mixed";

  // Plain service.
  std::chrono::milliseconds work_time{5};

  // Platform.
  std::chrono::milliseconds latency{2};
  double writes_per_second = 500;
  double reads_per_second = 2000;
  std::chrono::milliseconds weights_time{400};
};

/// Parses the command line. Prints the help text or an error.
/// @param exit_code set if no options are returned
std::optional<Options> ParseOptions(int argc, char** argv, int& exit_code);

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_OPTIONS_H_
