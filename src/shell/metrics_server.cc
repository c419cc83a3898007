#include "shell/metrics_server.h"

#include <fmt/format.h>

#include <iterator>
#include <utility>

#include "yuccapick/caller_api.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxConnections = 64;
constexpr std::uint32_t kHttpOk = 200;
constexpr std::uint32_t kHttpUnavailable = 503;
constexpr std::uint32_t kHttpNotFound = 404;

RouterSettings ListenerSettings(const Endpoint& listen) {
  RouterSettings settings;
  settings.listen = listen;
  settings.max_connections = kMaxConnections;
  return settings;
}

}  // namespace

MetricsServer::MetricsServer(asio::io_context& loop, const Endpoint& listen,
                             MetricsSources sources)
    : sources_(std::move(sources)),
      server_(CallerServer::Create(loop, ListenerSettings(listen), {}, *this)) {
}

void MetricsServer::OnCall(std::uint64_t /*call_id*/, HttpCall call,
                           std::shared_ptr<CallerExchange> exchange) {
  const std::vector<Header> headers{{"content-type", "text/plain"}};
  switch (RouteOf(call.method, call.target)) {
    case CallerRoute::kMetrics:
      return exchange->Respond(kHttpOk, headers, sources_.render());
    case CallerRoute::kHealth:
      return exchange->Respond(kHttpOk, headers, "ok\n");
    case CallerRoute::kReady:
      if (sources_.ready()) return exchange->Respond(kHttpOk, headers, "ok\n");
      return exchange->Respond(kHttpUnavailable, headers, "not ready\n");
    default:
      return exchange->Respond(kHttpNotFound, headers, "no such path\n");
  }
}

void AppendMetric(std::string& out, std::string_view type,
                  std::string_view name, std::uint64_t value) {
  fmt::format_to(std::back_inserter(out), "# TYPE {1} {0}\n{1} {2}\n", type,
                 name, value);
}

}  // namespace yuccapick
