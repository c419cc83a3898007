#ifndef YUCCAPICK_SHELL_METRICS_THREAD_H_
#define YUCCAPICK_SHELL_METRICS_THREAD_H_

/// @file
/// Thread that counts finished requests and renders all metrics.

#include <functional>
#include <string>

#include "shell/loop_thread.h"
#include "shell/mailbox.h"
#include "yuccapick/request_metrics.h"

namespace yuccapick {

/// Owns the request metrics; only its own thread accesses them.
class MetricsThread {
 public:
  /// @param gauges renders the counters of the other threads; called on this
  ///   thread
  explicit MetricsThread(std::function<std::string()> gauges);

  void Start() { thread_.Start(); }
  void Stop() { thread_.Stop(); }

  /// Counts a request. If the queue is full, the request is dropped and the
  /// drop is counted.
  void Record(RequestFinished request);

  /// Renders all metrics in the Prometheus text format; `done` runs on this
  /// thread.
  void Render(std::function<void(std::string)> done);

 private:
  LoopThread thread_;
  std::function<std::string()> gauges_;
  RequestMetrics metrics_;
  Mailbox<RequestFinished> finished_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_METRICS_THREAD_H_
