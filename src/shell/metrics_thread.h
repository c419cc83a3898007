#ifndef YUCCAPICK_SHELL_METRICS_THREAD_H_
#define YUCCAPICK_SHELL_METRICS_THREAD_H_

/// @file
/// The duty that counts finished requests and renders all metrics.

#include <functional>
#include <string>

#include "shell/loop_thread.h"
#include "shell/mailbox.h"
#include "yuccapick/request_metrics.h"

namespace yuccapick {

/// Owns the request metrics on a thread of their own.
class MetricsThread {
 public:
  /// @param gauges renders counters of the other duties; called on this
  ///   duty's thread
  explicit MetricsThread(std::function<std::string()> gauges);

  void Start() { thread_.Start(); }
  void Stop() { thread_.Stop(); }

  /// Counts a request. A full ring drops it and counts the drop.
  void Record(RequestFinished request);

  /// Renders all metrics; `done` runs on this duty's thread.
  void Render(std::function<void(std::string)> done);

 private:
  LoopThread thread_;
  std::function<std::string()> gauges_;
  RequestMetrics metrics_;
  Mailbox<RequestFinished> finished_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_METRICS_THREAD_H_
