#include "test/gateway/gateway_fixture.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/names.h"
#include "test/shell/test_address.h"

namespace yuccapick {
namespace {

using Json = nlohmann::json;

constexpr char kGatewayTable[] = "yuccapick-gateways";

Json UpstreamRow(const FakeUpstream& upstream, const std::string& service) {
  return Json{{"service", service},
              {"address", upstream.endpoint()},
              {"zone", "here"},
              {"version", "v1"},
              {"slots", 4},
              {"state", "ready"},
              {"models", Json::array()},
              {"sequence", 0},
              {"born", 1}};
}

void AssignPorts(GatewaySettings& settings) {
  settings.caller_endpoint = fmt::format("{}:{}", TestHost(), NextTestPort());
  settings.ready_endpoint = fmt::format("{}:{}", TestHost(), NextTestPort());
  settings.peer_port = NextTestPort();
  settings.metrics_port = NextTestPort();
}

}  // namespace

FakeCaller::FakeCaller(asio::io_context& loop, const std::string& endpoint)
    : connection_(std::make_shared<Connection>(loop)) {
  connection_->socket.connect(ParseEndpoint(endpoint));
  connection_->Read();
}

void FakeCaller::Send(const std::string& bytes) {
  asio::error_code ec;
  asio::write(connection_->socket, asio::buffer(bytes), ec);
}

void FakeCaller::SendWhileRunning(std::string bytes) {
  const auto text = std::make_shared<const std::string>(std::move(bytes));
  asio::async_write(
      connection_->socket, asio::buffer(*text),
      [text, self = connection_](const asio::error_code&, std::size_t) {});
}

void FakeCaller::Close() {
  asio::error_code ec;
  connection_->socket.close(ec);
}

void FakeCaller::Connection::Read() {
  socket.async_read_some(
      asio::buffer(buf),
      [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        self->input.append(self->buf.data(), n);
        self->closed = static_cast<bool>(ec);
        if (!ec) self->Read();
      });
}

GatewayFixture::GatewayFixture() : store(loop) {
  settings.instance = InstanceId("gateway-1");
  settings.domain = FailureDomain("here");
  settings.ip = TestHost();
  AssignPorts(settings);
  settings.table_endpoint = store.endpoint();
  settings.listen_after_drain = std::chrono::milliseconds(100);
}

GatewayFixture::~GatewayFixture() { loop.stop(); }

void GatewayFixture::Register(const FakeUpstream& upstream,
                              const std::string& service,
                              const std::string& state) {
  Json entry = UpstreamRow(upstream, service);
  entry["state"] = state;
  store.Put("servers", upstream.id(), entry.dump());
}

void GatewayFixture::RegisterAs(const std::string& id,
                                const FakeUpstream& upstream,
                                const std::string& service) {
  store.Put("servers", id, UpstreamRow(upstream, service).dump());
}

void GatewayFixture::RegisterRun(const FakeUpstream& upstream,
                                 const std::string& service, int born) {
  Json entry = UpstreamRow(upstream, service);
  entry["born"] = born;
  store.Put("servers", upstream.id(), entry.dump());
}

void GatewayFixture::RegisterSoftware(const FakeUpstream& upstream,
                                      const std::string& service,
                                      const std::string& software,
                                      const std::string& domain) {
  Json entry = UpstreamRow(upstream, service);
  entry["version"] = software;
  entry["zone"] = domain;
  store.Put("servers", upstream.id(), entry.dump());
}

void GatewayFixture::RegisterEngine(const FakeUpstream& upstream, int weights,
                                    int born) {
  Json entry = UpstreamRow(upstream, "engines");
  entry["born"] = born;
  entry["models"] = Json::array({Json{{"name", "m"}, {"version", weights}}});
  store.Put("servers", upstream.id(), entry.dump());
}

void GatewayFixture::PutTargetWeights(int weights) {
  const std::string key = std::string(platform::kVersionKeyPrefix) + "m";
  store.Put("op", key, Json{{"model", "m"}, {"version", weights}}.dump());
}

void GatewayFixture::PutConfig(std::uint64_t version, const std::string& routes,
                               const std::string& key) {
  const Json config{
      {"version", version},
      {"routes", Json::parse(routes)},
      {"services", Json::array({Json{{"name", "app"}, {"maxConns", 100}},
                                Json{{"name", "other"}, {"maxConns", 100}},
                                Json{{"name", "engines"},
                                     {"maxConns", 100},
                                     {"engine", Json{{"slots", 4}}}}})},
      {"tenants", Json::array({Json{{"name", "moor"}, {"apiKeys", {key}}}})}};
  store.Put("op", "config", config.dump());
}

void GatewayFixture::Start() {
  gateway = std::make_unique<GatewayProcess>(loop, settings, Incarnation(1));
  REQUIRE(gateway->Start().ok());
  REQUIRE(RunUntil(loop, [this] { return IsReady(); }));
}

void GatewayFixture::StartPeer() {
  REQUIRE(RunUntilTrue(
      [this] { return store.Has(kGatewayTable, settings.instance.value); }));
  peer_settings = settings;
  peer_settings.instance = InstanceId("gateway-2");
  AssignPorts(peer_settings);
  peer = std::make_unique<GatewayProcess>(loop, peer_settings, Incarnation(1));
  REQUIRE(peer->Start().ok());
  REQUIRE(RunUntilTrue([this] {
    return IsReady(peer_settings) &&
           HasMetric(settings, "yuccapick_peers_live 1") &&
           HasMetric(peer_settings, "yuccapick_peers_live 1");
  }));
}

void GatewayFixture::StartLate() {
  late_settings = settings;
  late_settings.instance = InstanceId("gateway-3");
  AssignPorts(late_settings);
  late = std::make_unique<GatewayProcess>(loop, late_settings, Incarnation(1));
  REQUIRE(late->Start().ok());
  REQUIRE(RunUntilTrue([this] { return IsReady(late_settings); }));
}

bool GatewayFixture::IsReady(const GatewaySettings& of) {
  FakeCaller caller(loop, of.ready_endpoint);
  caller.Send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  RunUntil(loop, [&caller] { return caller.closed(); });
  return caller.input().starts_with("HTTP/1.1 200");
}

bool GatewayFixture::HasMetric(const GatewaySettings& of,
                               const std::string& line) {
  FakeCaller caller(loop, fmt::format("{}:{}", of.ip, of.metrics_port));
  caller.Send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  RunUntil(loop, [&caller] { return caller.closed(); });
  return caller.input().find("\n" + line + "\n") != std::string::npos;
}

void GatewayFixture::SilenceStore(std::chrono::milliseconds duration) {
  store.set_silent(true);
  Run(duration);
  store.set_silent(false);
}

void GatewayFixture::Run(std::chrono::milliseconds duration) {
  asio::steady_timer timer(loop, duration);
  bool ended = false;
  timer.async_wait([&ended](const asio::error_code&) { ended = true; });
  REQUIRE(RunUntilTrue([&ended] { return ended; }));
}

bool GatewayFixture::AwaitListed(std::size_t n) {
  const std::string line = fmt::format("yuccapick_upstreams_listed {}", n);
  return RunUntilTrue([&] {
    return HasMetric(settings, line) &&
           (peer == nullptr || HasMetric(peer_settings, line));
  });
}

std::string GatewayFixture::Ask(const std::string& request) {
  return AskAt(settings.caller_endpoint, request);
}

std::string GatewayFixture::AskPeer(const std::string& request) {
  return AskAt(peer_settings.caller_endpoint, request);
}

std::string GatewayFixture::AskLate(const std::string& request) {
  return AskAt(late_settings.caller_endpoint, request);
}

std::string GatewayFixture::AskAt(const std::string& endpoint,
                                  const std::string& request) {
  FakeCaller caller(loop, endpoint);
  caller.SendWhileRunning(request);
  const bool ended = RunUntil(loop, [&caller] {
    if (caller.closed()) return true;
    const std::size_t head = caller.input().find("\r\n\r\n");
    if (head == std::string::npos) return false;
    const std::size_t at = caller.input().find("Content-Length: ");
    if (at == std::string::npos || at > head) {
      return caller.input().ends_with("\r\n0\r\n\r\n");
    }
    const std::size_t n = std::stoul(caller.input().substr(at + 16));
    return caller.input().size() >= head + 4 + n;
  });
  CHECK(ended);
  return caller.input();
}

bool IsRefusal(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 503") &&
         answer.find("Retry-After: ") != std::string::npos;
}

std::string CallerRequest(const std::string& method, const std::string& path,
                          const std::string& more_fields,
                          const std::string& body,
                          const std::string& attempt_id) {
  std::string length;
  if (!body.empty()) {
    length = fmt::format("Content-Length: {}\r\n", body.size());
  }
  return fmt::format(
      "{} {} HTTP/1.1\r\nHost: crew.example\r\nX-Attempt-Id: {}\r\n"
      "X-Key: key-moor\r\n{}{}\r\n{}",
      method, path, attempt_id, more_fields, length, body);
}

}  // namespace yuccapick
