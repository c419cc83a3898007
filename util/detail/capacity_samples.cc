#include "util/detail/capacity_samples.h"

#include <fmt/format.h>

#include <algorithm>

#include "yuccapick/sha256.h"

namespace yuccapick {
namespace {

constexpr std::size_t kDomains = 9;
constexpr std::size_t kLevelBytes = 24'000;
constexpr std::size_t kDocumentBytes = 64'000;

std::string TeamName(std::size_t index) {
  return fmt::format("team-{:05}", index);
}

LoadedModel BaseModel(const std::string& model) {
  return {ModelId(model), AdapterId(), WeightVersion("w1")};
}

}  // namespace

ConfigPtr SampleConfig(std::size_t teams) {
  auto config = std::make_shared<ConfigSnapshot>();
  config->version = ConfigVersion(1);
  for (std::size_t i = 0; i < teams; ++i) {
    config->teams.push_back(
        {TeamId(TeamName(i)), {Sha256Hex(TeamName(i))}, 1.0});
  }
  for (const char* name : {"fen-3b", "heath-1b", "moor-8b"}) {
    config->models.push_back({ModelId(name), WeightVersion("w1"), {}, 1});
  }
  ServiceConfig bookings;
  bookings.id = ServiceId("bookings");
  bookings.kind = ServiceKind::kPlain;
  bookings.idempotent = false;
  ServiceConfig notes;
  notes.id = ServiceId("notes");
  notes.models = {ModelId("fen-3b"), ModelId("heath-1b"), ModelId("moor-8b")};
  config->services = {bookings, notes};
  return config;
}

UpstreamInfo SampleEngine(std::size_t index) {
  UpstreamInfo info;
  info.id = UpstreamId(fmt::format("engine-{:05}", index));
  info.domain = FailureDomain(fmt::format("domain-{}", index % kDomains));
  info.region = Region("region-1");
  info.agent_host = "127.0.0.1";
  info.agent_port = 9000;
  info.agent_incarnation = Incarnation(1);
  info.engine_incarnation = Incarnation(1);
  info.loaded = {BaseModel("fen-3b"), BaseModel("heath-1b"),
                 BaseModel("moor-8b")};
  return info;
}

AgentReport SampleReport(std::size_t index, std::uint64_t sequence,
                         std::size_t entries) {
  AgentReport report;
  report.upstream = SampleEngine(index);
  report.config = ConfigVersion(1);
  report.sequence = sequence;
  report.load = {8, 1, 4000, 60'000, 2'000, 30'000, 40'000};
  for (std::size_t i = 0; i < entries; ++i) {
    const std::uint64_t hash =
        (index * 0x9e3779b97f4a7c15ULL) ^ (sequence << 32) ^ (i + 1);
    report.digest.push_back({hash, 4000, std::chrono::milliseconds(10)});
  }
  return report;
}

CallerRequest SampleRequest(std::uint64_t id, std::size_t teams) {
  CallerRequest request;
  request.id = RequestId(id);
  request.team = TeamId(TeamName(id % teams));
  request.service = ServiceId("notes");
  request.kind = RequestKind::kChatCompletion;
  request.model = ModelId("fen-3b");
  request.streamed = true;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.levels = {std::string(kLevelBytes, 'a'),
                    std::string(kDocumentBytes, 'b'),
                    fmt::format("question {}", id)};
  request.body = "{}";
  return request;
}

}  // namespace yuccapick
