#include "util/detail/replay_trace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace yuccapick::replay {
namespace {

using Random = std::mt19937_64;

/// Load before the busy period, relative to the capacity.
constexpr double kQuietLoad = 0.3;
/// The capacity is the request rate at which prefill keeps all engines busy
/// when this share of the shared prompt tokens is cached.
constexpr double kReferenceHitRate = 0.85;

double Uniform(Random& random) {
  return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

std::uint32_t RandomBetween(Random& random, std::uint32_t low,
                            std::uint32_t high) {
  return low + static_cast<std::uint32_t>(random() % (high - low + 1));
}

std::vector<double> ZipfCumulative(std::size_t count, double exponent) {
  std::vector<double> cumulative;
  double sum = 0;
  for (std::size_t n = 0; n < count; ++n) {
    sum += 1.0 / std::pow(static_cast<double>(n + 1), exponent);
    cumulative.push_back(sum);
  }
  return cumulative;
}

std::uint32_t DrawIndex(Random& random, const std::vector<double>& cumulative) {
  const double at = Uniform(random) * cumulative.back();
  const auto it = std::lower_bound(cumulative.begin(), cumulative.end(), at);
  return static_cast<std::uint32_t>(it - cumulative.begin());
}

std::string RandomText(Random& random, std::uint64_t tokens) {
  std::string text(static_cast<std::size_t>(tokens / kTokensPerByte), ' ');
  for (char& c : text) c = static_cast<char>('a' + random() % 26);
  return text;
}

std::vector<Document> MakeDocuments(const Deployment& deployment,
                                    Random& random) {
  std::vector<Document> documents;
  for (std::uint32_t team = 0; team < deployment.teams; ++team) {
    const CacheScope scope{TeamId("team-" + std::to_string(team)),
                           ModelId("moor-8b"), AdapterId(),
                           WeightVersion("w1")};
    const std::string team_text = RandomText(random, kPieceTokens);
    for (std::uint32_t s = 0; s < deployment.services_per_team; ++s) {
      const std::string service_text =
          RandomText(random, kPieceTokens * RandomBetween(random, 1, 2));
      for (std::uint32_t d = 0; d < deployment.documents_per_service; ++d) {
        const std::uint64_t pieces =
            RandomBetween(random, 1, deployment.max_document_pieces);
        const std::string text = RandomText(random, kPieceTokens * pieces);
        documents.push_back(
            {scope,
             SplitPrefix(scope, {team_text, service_text, text}, kPieceBytes)});
      }
    }
  }
  return documents;
}

double SharedTokens(const Document& document) {
  return kTokensPerByte * static_cast<double>(document.pieces.back().end_byte);
}

/// Draws documents. Their popularity ranks are permuted after the shift.
class Popularity {
 public:
  Popularity(const Deployment& deployment, Random& random)
      : deployment_(deployment),
        teams_(ZipfCumulative(deployment.teams, deployment.team_skew)),
        documents_(ZipfCumulative(deployment.documents_per_service,
                                  deployment.document_skew)) {
    for (std::uint32_t n = 0; n < deployment.documents_per_service; ++n) {
      before_.push_back(n);
      after_.push_back(n);
    }
    std::shuffle(after_.begin(), after_.end(), random);
  }

  std::uint32_t Next(Random& random, bool shifted) const {
    const std::uint32_t team = DrawIndex(random, teams_);
    const std::uint32_t service =
        RandomBetween(random, 0, deployment_.services_per_team - 1);
    const std::uint32_t rank = DrawIndex(random, documents_);
    const std::uint32_t document = shifted ? after_[rank] : before_[rank];
    return (team * deployment_.services_per_team + service) *
               deployment_.documents_per_service +
           document;
  }

 private:
  const Deployment& deployment_;
  std::vector<double> teams_;
  std::vector<double> documents_;
  std::vector<std::uint32_t> before_;
  std::vector<std::uint32_t> after_;
};

double CapacityPerSecond(const Trace& trace, const Popularity& popularity,
                         Random random) {
  constexpr int kSamples = 4'000;
  const Deployment& deployment = trace.deployment;
  double shared = 0;
  for (int n = 0; n < kSamples; ++n) {
    shared += SharedTokens(trace.documents[popularity.Next(random, false)]);
  }
  const double question =
      0.5 * (deployment.min_question_tokens + deployment.max_question_tokens);
  const double work = question + (1.0 - kReferenceHitRate) * shared / kSamples;
  return deployment.engines * deployment.prefill_tokens_per_second / work;
}

}  // namespace

Deployment MakeDeployment(const std::string& name) {
  Deployment deployment;
  deployment.name = name;
  if (name == "sendetechnik") {
    deployment.documents_per_service = 24;
    deployment.max_question_tokens = 3'000;
    deployment.max_answer_tokens = 200;
    deployment.urgent_share = 0.2;
    deployment.reuse_weight = 0.3;
    return deployment;
  }
  deployment.document_skew = 1.2;
  deployment.documents_per_service = 16;
  deployment.reuse_weight = 0.8;
  deployment.caller_delay = std::chrono::microseconds(3'000);
  return deployment;
}

Trace MakeTrace(const Deployment& deployment, double load, std::uint64_t seed) {
  Random random(seed);
  Trace trace;
  trace.deployment = deployment;
  trace.documents = MakeDocuments(deployment, random);
  const Popularity popularity(trace.deployment, random);
  const double capacity = CapacityPerSecond(trace, popularity, random);
  double now = 0;
  const double end = std::chrono::duration<double>(kTraceEnd).count();
  while (true) {
    const bool busy = now >= std::chrono::duration<double>(kBusyStart).count();
    const bool shifted =
        now >= std::chrono::duration<double>(kPopularityShiftTime).count();
    const double rate = capacity * (busy ? load : std::min(load, kQuietLoad));
    now -= std::log(1.0 - Uniform(random)) / rate;
    if (now >= end) return trace;
    TraceRequest request;
    request.arrival =
        std::chrono::microseconds(static_cast<std::int64_t>(now * 1e6));
    request.document = popularity.Next(random, shifted);
    request.router = RandomBetween(random, 0, deployment.routers - 1);
    request.question_tokens = RandomBetween(
        random, deployment.min_question_tokens, deployment.max_question_tokens);
    request.answer_tokens =
        RandomBetween(random, 20, deployment.max_answer_tokens);
    request.question_hash = random();
    request.urgent = Uniform(random) < deployment.urgent_share;
    trace.requests.push_back(request);
  }
}

}  // namespace yuccapick::replay
