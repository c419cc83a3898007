#include <variant>

#include "shell/link_codec.h"
#include "util/detail/capacity_meter.h"
#include "util/detail/capacity_samples.h"
#include "yuccapick/router_core.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kUpstreams = 40;
constexpr std::size_t kTeams = 1'000;
constexpr std::size_t kTokens = 400;

/// A router core with upstreams and requests in flight.
class SampleRouter {
 public:
  explicit SampleRouter(std::size_t upstreams) : core_(Options()) {
    Handle(ConfigChanged{SampleConfig(kTeams)});
    for (std::size_t i = 0; i < upstreams; ++i) {
      Handle(UpstreamChanged{SampleEngine(i)});
      Handle(ReportArrived{SampleReport(i, 1, 0)});
    }
  }

  RouterActions Handle(const RouterEvent& event) {
    return core_.Handle(event, now_);
  }

  /// Sends a request up to the head of its answer; returns its attempt.
  SendAttempt StartRequest(std::uint64_t id) {
    now_ += milliseconds(1);
    const RouterActions actions =
        Handle(RequestArrived{SampleRequest(id, kTeams)});
    SendAttempt sent;
    for (const RouterAction& action : actions) {
      if (const auto* attempt = std::get_if<SendAttempt>(&action)) {
        sent = *attempt;
      }
    }
    Handle(AnswerHeadArrived{
        sent.upstream,
        {sent.request.attempt, 200, {{"content-type", "text/event-stream"}}}});
    return sent;
  }

  void DeliverToken(const SendAttempt& sent, std::uint64_t position) {
    Handle(AnswerChunkArrived{
        sent.upstream,
        {sent.request.attempt, position,
         R"({"choices":[{"index":0,"delta":{"content":"word "}}]})", "word "}});
  }

  void FinishRequest(const SendAttempt& sent, std::uint64_t positions) {
    Handle(AnswerEndArrived{
        sent.upstream,
        {sent.request.attempt, positions, {22'000, 20'000, positions}}});
  }

  void AdvanceTime(milliseconds time) {
    now_ += time;
    Handle(Tick{});
  }

 private:
  static RouterCoreOptions Options() {
    RouterCoreOptions options;
    options.instance = InstanceId("router-1");
    options.incarnation = Incarnation(1);
    options.domain = FailureDomain("domain-0");
    options.region = Region("region-1");
    return options;
  }

  RouterCore core_;
  TimePoint now_{std::chrono::hours(1)};
};

double RequestCost(std::size_t requests) {
  SampleRouter router(kUpstreams);
  std::uint64_t id = 0;
  return CpuNanoseconds([&] {
    for (std::size_t i = 0; i < requests; ++i) {
      const SendAttempt sent = router.StartRequest(++id);
      router.DeliverToken(sent, 0);
      router.FinishRequest(sent, 1);
    }
  });
}

double TokenCost(std::size_t tokens) {
  SampleRouter router(kUpstreams);
  std::uint64_t id = 0;
  return CpuNanoseconds([&] {
    for (std::size_t done = 0; done < tokens; done += kTokens) {
      const SendAttempt sent = router.StartRequest(++id);
      for (std::size_t i = 0; i < kTokens; ++i) router.DeliverToken(sent, i);
      router.FinishRequest(sent, kTokens);
    }
  });
}

double StreamMemory(std::size_t streams) {
  SampleRouter router(kUpstreams);
  const std::size_t before = HeapBytes();
  for (std::size_t i = 0; i < streams; ++i) {
    const SendAttempt sent = router.StartRequest(i + 1);
    router.DeliverToken(sent, 0);
  }
  return static_cast<double>(HeapBytes() - before);
}

double ReportCost(std::size_t reports) {
  SampleRouter router(kUpstreams);
  std::uint64_t sequence = 1;
  return CpuNanoseconds([&] {
    for (std::size_t i = 0; i < reports; ++i) {
      if (i % kUpstreams == 0) ++sequence;
      router.Handle(ReportArrived{SampleReport(i % kUpstreams, sequence, 4)});
    }
  });
}

double ReportEntryBytes(std::size_t entries) {
  return static_cast<double>(Encode(SampleReport(1, 7, entries)).size());
}

/// Returns the encoded size of `reports` reports without digest entries.
double EmptyReportBytes(std::size_t reports) {
  double total = 0;
  for (std::size_t i = 0; i < reports; ++i) {
    total += static_cast<double>(
        Encode(SampleReport(i % kUpstreams, i + 1, 0)).size());
  }
  return total;
}

}  // namespace

std::vector<SlopeRow> MeasureRouter() {
  return {
      MeasureCpuSlope("request_cpu", "router", "ns/request",
                      {500, 1'000, 2'000, 4'000, 8'000}, RequestCost),
      MeasureCpuSlope("token_cpu", "router", "ns/token",
                      {20'000, 40'000, 80'000, 160'000}, TokenCost),
      MeasureSlope("stream_memory", "router", "bytes/stream",
                   {250, 500, 1'000, 2'000}, StreamMemory),
      MeasureCpuSlope("report_cpu", "router", "ns/report",
                      {4'000, 8'000, 16'000, 32'000}, ReportCost),
      MeasureSlope("report_wire", "agent", "bytes/report", {64, 128, 256, 512},
                   EmptyReportBytes),
      MeasureSlope("digest_entry_wire", "agent", "bytes/entry",
                   {64, 128, 256, 512}, ReportEntryBytes),
  };
}

}  // namespace yuccapick
