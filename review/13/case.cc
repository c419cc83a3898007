/// @file
/// A model service has servers of two software versions. All gateway processes
/// are killed and start again while streams run. Their clients take the streams
/// up again at gateways that are in touch with the store.

#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../lib-3/engine.h"
#include "../lib-3/fleet.h"

namespace {

using review::NowMs;
using review::SleepMs;

constexpr int kGateways = 2;
constexpr int kEnginesPerVersion = 2;
constexpr int kStreams = 24;
constexpr int kEvents = 40;
constexpr std::int64_t kEventGapMs = 300;
constexpr std::int64_t kTimeLimitMs = 15'000;
constexpr std::int64_t kRunBeforeMs = 2'000;
constexpr std::int64_t kRestartDelayMs = 500;
constexpr std::int64_t kContactMs = 3'000;
constexpr std::size_t kLeastStreams = 12;

/// Counts of streams, by what was asked.
struct Counts {
  std::size_t asked = 0;
  std::size_t begun = 0;

  double Share() const {
    return asked == 0 ? 0
                      : static_cast<double>(begun) / static_cast<double>(asked);
  }
};

/// The installation and its clients.
class Case {
 public:
  explicit Case(const review::CaseOptions& options)
      : options_(options), record_(options.record) {}

  int Run();

 private:
  bool StartFleet();
  /// One client's stream from its first event to its last.
  void RunClient(int n);
  void BeginNewStreams();
  bool InTouch(std::int64_t sent_at) const { return sent_at >= in_touch_from_; }
  review::StreamResult Send(int gateway, const review::StreamRequest& request);

  review::CaseOptions options_;
  review::Record record_;
  std::unique_ptr<review::Store> store_;
  std::vector<std::unique_ptr<review::Engine>> engines_;
  std::vector<std::unique_ptr<review::Gateway>> gateways_;
  std::atomic<bool> cut_{false};
  std::atomic<std::int64_t> in_touch_from_{1LL << 40};
  std::mutex mutex_;
  Counts resumed_;
  Counts fresh_;
  int mixed_ = 0;
};

bool Case::StartFleet() {
  const std::string store_ip = "127.0.32.100";
  const std::string engine_ip = "127.0.32.101";
  std::vector<std::string> ips{store_ip, engine_ip};
  for (int i = 0; i < kGateways; ++i) {
    ips.push_back("127.0.32." + std::to_string(i + 1));
  }
  const int port = review::FindFreePorts(ips, 8);
  store_ = std::make_unique<review::Store>(review::Endpoint{store_ip, port});
  if (!store_->Start()) return false;
  store_->Put("op", "config", review::MakeManifest({}));
  store_->Put("op", "version/m0", {{"model", "m0"}, {"version", 1}});
  for (int i = 0; i < 2 * kEnginesPerVersion; ++i) {
    review::EngineOptions engine;
    engine.name = "e" + std::to_string(i);
    engine.service = "models";
    engine.software = i < kEnginesPerVersion ? "one" : "two";
    engine.endpoint = {engine_ip, port + i};
    engine.events = kEvents;
    engine.event_gap_ms = kEventGapMs;
    engines_.push_back(
        std::make_unique<review::Engine>(engine, *store_, record_));
    if (!engines_.back()->Start()) return false;
  }
  const std::string seed = ips[2] + ":" + std::to_string(port + 2);
  for (int i = 0; i < kGateways; ++i) {
    gateways_.push_back(std::make_unique<review::Gateway>(
        review::GatewayOptions{"front-" + std::to_string(i + 1),
                               ips[static_cast<std::size_t>(i) + 2],
                               port,
                               store_->endpoint().Text(),
                               {seed},
                               options_.directory,
                               options_.program,
                               review::SmallBounds()}));
    if (!gateways_.back()->Start()) return false;
  }
  return std::all_of(gateways_.begin(), gateways_.end(),
                     [](const auto& it) { return it->AwaitReady(10'000); });
}

review::StreamResult Case::Send(int gateway,
                                const review::StreamRequest& request) {
  const review::Endpoint to =
      gateways_[static_cast<std::size_t>(gateway % kGateways)]->callers();
  record_.Write("send " + request.attempt_id + " to front-" +
                std::to_string(gateway % kGateways + 1) +
                " resumes=" + request.resumes +
                " after=" + std::to_string(request.last_event_id));
  review::StreamResult result = review::RunStream(to, request);
  record_.Write(
      "end " + request.attempt_id + " status=" + std::to_string(result.status) +
      " events=" + std::to_string(result.events.size()) +
      " software=" + (result.software.empty() ? "-" : result.software.back()) +
      " complete=" + std::to_string(result.complete) +
      " retry_after=" + std::to_string(result.retry_after_s));
  return result;
}

void Case::RunClient(int n) {
  const std::string name = "stream" + std::to_string(100 + n);
  const std::int64_t began_at = NowMs();
  review::StreamRequest request;
  request.attempt_id = name + "a0";
  request.time_limit_ms = kTimeLimitMs;
  request.cancel = &cut_;
  review::StreamResult result = Send(n, request);
  if (result.events.empty() || result.complete) return;
  const std::string software = result.software.back();
  request.resumes = request.attempt_id;
  request.last_event_id = result.events.back();
  request.cancel = nullptr;
  // A client without an answer waits; one that is refused does as it is told.
  constexpr std::int64_t kWaitsMs[] = {300, 1'200, 2'800, 800, 800};
  bool counted = false;
  for (int attempt = 1; attempt <= 5; ++attempt) {
    const auto told = static_cast<std::int64_t>(result.retry_after_s * 1'000);
    SleepMs(std::max(told, kWaitsMs[attempt - 1]));
    request.attempt_id = name + "a" + std::to_string(attempt);
    request.time_limit_ms = kTimeLimitMs - (NowMs() - began_at);
    const std::int64_t sent_at = NowMs();
    result = Send(n + attempt, request);
    const bool goes_on = !result.events.empty();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (goes_on && result.software.back() != software) ++mixed_;
    if (InTouch(sent_at) && !counted) {
      counted = true;
      ++resumed_.asked;
    }
    if (!goes_on) continue;
    if (counted) ++resumed_.begun;
    return;
  }
}

void Case::BeginNewStreams() {
  std::vector<std::thread> threads;
  for (int n = 0; n < kStreams; ++n) {
    threads.emplace_back([this, n] {
      review::StreamRequest request;
      request.attempt_id = "fresh" + std::to_string(100 + n);
      request.time_limit_ms = kTimeLimitMs;
      const bool begun = !Send(n, request).events.empty();
      const std::lock_guard<std::mutex> lock(mutex_);
      ++fresh_.asked;
      if (begun) ++fresh_.begun;
    });
    SleepMs(40);
  }
  for (std::thread& it : threads) it.join();
}

int Case::Run() {
  if (!StartFleet()) return review::kExitNotRun;
  SleepMs(2 * kContactMs);
  std::vector<std::thread> clients;
  for (int n = 0; n < kStreams; ++n) {
    clients.emplace_back([this, n] { RunClient(n); });
    SleepMs(20);
  }
  SleepMs(kRunBeforeMs);
  if (options_.trouble) {
    for (const auto& it : gateways_) it->Kill();
    record_.Write("all gateways killed");
    SleepMs(kRestartDelayMs);
    for (const auto& it : gateways_) {
      if (!it->Start()) return review::kExitNotRun;
    }
    record_.Write("all gateways started");
  } else {
    // The clients lose their connections; the gateways go on.
    cut_ = true;
    record_.Write("clients' connections closed");
  }
  in_touch_from_ = NowMs() + (options_.trouble ? kContactMs : 0);
  SleepMs(in_touch_from_ - NowMs());
  BeginNewStreams();
  for (std::thread& it : clients) it.join();
  const bool ended = std::any_of(gateways_.begin(), gateways_.end(),
                                 [](const auto& it) { return it->HasEnded(); });
  record_.Write("taken up again: " + std::to_string(resumed_.begun) + " of " +
                std::to_string(resumed_.asked) +
                " go on; new: " + std::to_string(fresh_.begun) + " of " +
                std::to_string(fresh_.asked) +
                " begin; mixed versions: " + std::to_string(mixed_));
  const bool enough =
      resumed_.asked >= kLeastStreams && fresh_.asked >= kLeastStreams;
  if (!enough || ended) return review::kExitNotRun;
  return resumed_.Share() < fresh_.Share() / 2 ? review::kExitBroken
                                               : review::kExitHeld;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = review::ReadCaseOptions(argc, argv);
  if (!options) return review::kExitNotRun;
  int result = review::kExitNotRun;
  {
    Case the_case(*options);
    result = the_case.Run();
  }
  std::_Exit(result);
}
