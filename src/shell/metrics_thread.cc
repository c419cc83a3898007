#include "shell/metrics_thread.h"

#include <fmt/format.h>

#include <utility>

namespace yuccapick {
namespace {

constexpr std::size_t kMaxLabelledTeams = 256;
constexpr std::size_t kQueueCapacity = 8192;

}  // namespace

MetricsThread::MetricsThread(std::function<std::string()> gauges)
    : gauges_(std::move(gauges)),
      metrics_(kMaxLabelledTeams),
      finished_(thread_.loop(), kQueueCapacity,
                [this](const RequestFinished& r) { metrics_.Record(r); }) {}

void MetricsThread::Record(RequestFinished request) {
  static_cast<void>(finished_.Post(std::move(request)));
}

void MetricsThread::Render(std::function<void(std::string)> done) {
  asio::post(thread_.loop(), [this, done = std::move(done)] {
    std::string text = metrics_.Render();
    text += fmt::format(
        "# HELP yuccapick_metrics_dropped_total Requests not counted.\n"
        "# TYPE yuccapick_metrics_dropped_total counter\n"
        "yuccapick_metrics_dropped_total {}\n",
        finished_.refused());
    text += gauges_();
    done(std::move(text));
  });
}

}  // namespace yuccapick
