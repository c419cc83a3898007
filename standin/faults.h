#ifndef YUCCAPICK_STANDIN_FAULTS_H_
#define YUCCAPICK_STANDIN_FAULTS_H_

/// @file
/// Faults that can be injected into a running stand-in.

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace yuccapick::standin {

/// Active faults; see README.md for their effects.
struct Faults {
  double slow_factor = 1;
  double event_loss = 0;
  std::chrono::milliseconds event_delay{0};
  bool ignore_fence = false;
  std::uint64_t truncate_after = 0;  ///< 0 truncates no stream.
  bool cross_answers = false;
  double lose_answer = 0;
  bool outage = false;
  std::chrono::milliseconds list_lag{0};

  /// Sets the fields that `change` contains.
  void Apply(const nlohmann::json& change) {
    slow_factor = change.value("slow_factor", slow_factor);
    event_loss = change.value("event_loss", event_loss);
    event_delay = std::chrono::milliseconds(
        change.value("event_delay_ms", event_delay.count()));
    ignore_fence = change.value("ignore_fence", ignore_fence);
    truncate_after = change.value("truncate_after", truncate_after);
    cross_answers = change.value("cross_answers", cross_answers);
    lose_answer = change.value("lose_answer", lose_answer);
    outage = change.value("outage", outage);
    list_lag = std::chrono::milliseconds(
        change.value("list_lag_ms", list_lag.count()));
  }

  nlohmann::json ToJson() const {
    return {{"slow_factor", slow_factor},
            {"event_loss", event_loss},
            {"event_delay_ms", event_delay.count()},
            {"ignore_fence", ignore_fence},
            {"truncate_after", truncate_after},
            {"cross_answers", cross_answers},
            {"lose_answer", lose_answer},
            {"outage", outage},
            {"list_lag_ms", list_lag.count()}};
  }
};

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_FAULTS_H_
