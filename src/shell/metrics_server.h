#ifndef YUCCAPICK_SHELL_METRICS_SERVER_H_
#define YUCCAPICK_SHELL_METRICS_SERVER_H_

/// @file
/// Serves `/metrics`, `/healthz` and `/readyz` on a separate address.

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "shell/caller_server.h"
#include "shell/settings.h"

namespace yuccapick {

struct MetricsSources {
  /// Returns the metrics in the Prometheus text format; runs on the loop.
  std::function<std::string()> render;
  std::function<bool()> ready;
};

/// All methods must be called on the loop's thread.
class MetricsServer : private CallerHandler {
 public:
  MetricsServer(asio::io_context& loop, const Endpoint& listen,
                MetricsSources sources);

  absl::Status Open() { return server_->Open(); }
  void Close() { server_->Close(); }

 private:
  void OnCall(std::uint64_t call_id, HttpCall call,
              std::shared_ptr<CallerExchange> exchange) override;
  void OnCallerDisconnected(std::uint64_t /*call_id*/) override {}

  MetricsSources sources_;
  std::unique_ptr<CallerServer> server_;
};

/// Appends one counter or gauge in the Prometheus text format.
void AppendMetric(std::string& out, std::string_view type,
                  std::string_view name, std::uint64_t value);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_METRICS_SERVER_H_
