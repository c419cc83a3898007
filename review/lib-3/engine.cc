#include "engine.h"

#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr char kModel[] = "m0";

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Engine::Engine(EngineOptions options, Store& store, Record& record)
    : options_(std::move(options)),
      store_(store),
      record_(record),
      server_(options_.endpoint,
              [this](const Message& request, Connection& connection) {
                return Handle(request, connection);
              }) {}

std::string Engine::id() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return id_;
}

std::vector<std::int64_t> Engine::crash_times() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return crash_times_;
}

Json Engine::Entry() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {{"service", options_.service},
          {"address", options_.endpoint.Text()},
          {"zone", "zone-a"},
          {"version", options_.software},
          {"slots", options_.slots},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"sequence", 1},
          {"stage", "colocated"},
          {"models",
           {{{"name", kModel}, {"version", 1}, {"adapters", Json::array()}}}},
          {"born", born_}};
}

bool Engine::Start() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    id_ = "i-" + options_.name + "-" + std::to_string(++starts_);
    born_ = UnixMs();
  }
  if (!server_.Start()) return false;
  Register();
  return true;
}

void Engine::Register() { store_.Put("servers", id(), Entry()); }

void Engine::Stop() {
  stopped_ = true;
  while (restarts_pending_ > 0) SleepMs(5);
  server_.Stop();
}

void Engine::Crash() {
  constexpr std::int64_t kEntryLifetimeMs = 3'600;
  if (crashing_.exchange(true)) return;
  ++crashes_;
  const std::string id = this->id();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    crash_times_.push_back(NowMs());
  }
  record_.Write("crash " + id);
  ++restarts_pending_;
  std::thread([this, id] {
    server_.Stop();
    const std::int64_t crashed_at = NowMs();
    const auto wait_until = [&](std::int64_t ms) {
      while (!stopped_ && NowMs() < crashed_at + ms) SleepMs(5);
    };
    wait_until(options_.down_ms);
    crashing_ = false;
    if (!stopped_) {
      Start();
      record_.Write("back " + this->id());
    }
    wait_until(kEntryLifetimeMs);
    if (!stopped_) store_.Remove("servers", id);
    --restarts_pending_;
  }).detach();
}

void Engine::AwaitEndOfSilence() const {
  while (!stopped_ && NowMs() < silent_until_) SleepMs(2);
}

bool Engine::Handle(const Message& request, Connection& connection) {
  const std::string expected = request.Find("X-Expect-Instance");
  if (!expected.empty() && expected != id()) {
    return connection.Write(
        MakeResponse(kMisdirected,
                     {{"X-Attempt-Id", request.Find("X-Attempt-Id")},
                      {"X-Not-Executed", "1"}},
                     ""));
  }
  if (request.Path() == "/report") {
    const Json report{
        {"stage", "colocated"},
        {"models",
         {{{"name", kModel}, {"version", 1}, {"adapters", Json::array()}}}},
        {"busy", false},
        {"sequence", 0},
        {"queued", 0},
        {"active", 0},
        {"kvUsed", 0},
        {"kvTotal", 100'000},
        {"handles", 0},
        {"born", born_}};
    return connection.Write(MakeResponse(kOk, {}, report.dump()));
  }
  if (request.Path() == "/kv-events") {
    SleepMs(std::strtol(request.Find("Wait-Ms").c_str(), nullptr, 10));
    const Json events{{"bootEpoch", born_},
                      {"next", 0},
                      {"lost", false},
                      {"events", Json::array()}};
    return connection.Write(MakeResponse(kOk, {}, events.dump()));
  }
  return HandleStream(request, connection);
}

bool Engine::HandleStream(const Message& request, Connection& connection) {
  const std::string attempt = request.Find("X-Attempt-Id");
  AwaitEndOfSilence();
  if (full_) {
    record_.Write("reject " + attempt + " at " + id());
    return connection.Write(
        MakeResponse(kUnavailable,
                     {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}}, ""));
  }
  record_.Write("run " + attempt + " at " + id() + " software " +
                options_.software + " after " + request.Find("Last-Event-Id"));
  SleepMs(options_.first_event_ms);
  if (options_.crashes_on(request)) {
    Crash();
    return false;
  }
  return WriteStream(request, connection);
}

bool Engine::WriteStream(const Message& request, Connection& connection) const {
  const std::string attempt = request.Find("X-Attempt-Id");
  if (!connection.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                        "\r\nX-Server-Seal: seal." + attempt +
                        "\r\nX-Weight-Versions: 1\r\n"
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  const int last = static_cast<int>(
      std::strtol(request.Find("Last-Event-Id").c_str(), nullptr, 10));
  for (int n = last + 1; n <= options_.events; ++n) {
    if (n > last + 1) SleepMs(options_.event_gap_ms);
    AwaitEndOfSilence();
    const std::string event =
        "id: " + std::to_string(n) + "\ndata: " + options_.software + "\n\n";
    if (!connection.WriteChunk(event)) return false;
  }
  return connection.Write("0\r\n\r\n");
}

Json MakeManifest(const ManifestOptions& options) {
  return {
      {"version", options.version},
      {"routes",
       {{{"name", "notes"},
         {"host", options.host},
         {"prefix", options.prefix},
         {"service", options.service},
         {"kind", "streaming"},
         {"resumable", options.resumable},
         {"sticky", true},
         {"timeoutMs", options.timeout_ms},
         {"targetLatencyMs", options.target_latency_ms},
         {"gapTargetMs", options.gap_target_ms},
         {"maxAttempts", options.max_attempts},
         {"priority", 0},
         {"authExempt", false}}}},
      {"services",
       {{{"name", options.service},
         {"healthPath", "/health"},
         {"maxConns", 460},
         {"engine",
          {{"slots", 64},
           {"kvCapacityTokens", 100'000},
           {"kvTokenBytes", 35'136},
           {"maxInflight", 16},
           {"models", {{{"name", kModel}}}}}}}}},
      {"tenants",
       {{{"name", "team-1"}, {"apiKeys", {options.key}}, {"isolated", false}}}},
      {"limits",
       {{"maxHeaderBytes", 16'384},
        {"maxBodyBytes", 4'194'304},
        {"headerTimeoutMs", 5'000},
        {"idleTimeoutMs", 10'000}}}};
}

StreamResult RunStream(const Endpoint& gateway, const StreamRequest& request) {
  constexpr milliseconds kConnectTime{1'000};
  StreamResult result;
  const auto connection = Connection::Open(gateway, kConnectTime);
  if (connection == nullptr) return result;
  connection->SetReadTimeout(milliseconds(request.time_limit_ms));
  std::string head =
      "POST " + request.path + " HTTP/1.1\r\nHost: " + request.host +
      "\r\nX-Attempt-Id: " + request.attempt_id + "\r\nX-Key: " + request.key +
      "\r\nX-Model: m0\r\nX-Deadline-Ms: " +
      std::to_string(request.time_limit_ms) + "\r\n";
  if (!request.parts.empty()) {
    head +=
        "X-Token-Count: 1000,40\r\nX-Prompt-Prefix: " + request.parts + "\r\n";
  }
  if (!request.resumes.empty()) head += "Resumes: " + request.resumes + "\r\n";
  if (request.last_event_id > 0) {
    head += "Last-Event-Id: " + std::to_string(request.last_event_id) + "\r\n";
  }
  head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
  Message response;
  if (!connection->Write(head + request.body) ||
      !connection->ReadResponseHead(response)) {
    return result;
  }
  result.status = response.status;
  result.retry_after_s =
      std::strtod(response.Find("Retry-After").c_str(), nullptr);
  std::string text;
  while (request.cancel == nullptr || !*request.cancel) {
    const std::optional<std::string> part = connection->ReadBodyPart(response);
    if (!part) return result;
    if (part->empty()) {
      result.complete = true;
      return result;
    }
    text += *part;
    for (std::size_t end = text.find("\n\n"); end != std::string::npos;
         end = text.find("\n\n")) {
      const std::string event = text.substr(0, end);
      text.erase(0, end + 2);
      if (!event.starts_with("id: ")) continue;
      result.events.push_back(
          static_cast<int>(std::strtol(event.c_str() + 4, nullptr, 10)));
      result.software.push_back(event.substr(event.rfind(' ') + 1));
    }
  }
  return result;
}

}  // namespace review
