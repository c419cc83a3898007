#ifndef YUCCAPICK_UTIL_DETAIL_REPLAY_TRACE_H_
#define YUCCAPICK_UTIL_DETAIL_REPLAY_TRACE_H_

/// @file
/// Seeded request traces of the deployments that the replay measures.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "yuccapick/prefix.h"

namespace yuccapick::replay {

/// Sizes of a deployment and the shape of its traffic.
struct Deployment {
  std::string name;
  std::uint32_t engines = 18;
  std::uint32_t domains = 3;
  std::uint32_t routers = 3;
  std::uint32_t teams = 8;
  std::uint32_t services_per_team = 2;
  std::uint32_t documents_per_service = 12;
  double team_skew = 1.0;      ///< Zipf exponent of the teams.
  double document_skew = 1.0;  ///< Zipf exponent of a service's documents.
  std::uint32_t most_document_pieces = 6;
  std::uint32_t shortest_question = 150;  ///< Tokens.
  std::uint32_t longest_question = 1'200;
  std::uint32_t longest_answer = 300;
  double urgent_share = 0.1;
  double reuse_weight = 0.5;
  std::uint32_t cache_pieces = 48;  ///< Of each engine.
  double prefill_tokens_per_second = 12'000;
  std::chrono::microseconds caller_hop{1'000};
  std::chrono::microseconds domain_hop{500};
  std::chrono::milliseconds report_delay{150};  ///< Of load and digests.
};

/// Returns the deployment of that name: `sendetechnik` or `kneadwell`.
Deployment DeploymentOf(const std::string& name);

/// A prompt prefix that requests share.
struct Document {
  CacheScope scope;
  std::vector<PrefixPiece> pieces;
};

struct TraceRequest {
  std::chrono::microseconds arrival{0};
  std::uint32_t document = 0;
  std::uint32_t router = 0;
  std::uint32_t question_tokens = 0;
  std::uint32_t answer_tokens = 0;
  std::uint64_t question_hash = 0;
  bool urgent = false;
};

struct Trace {
  Deployment deployment;
  std::vector<Document> documents;
  std::vector<TraceRequest> requests;  ///< By arrival.
};

/// Tokens in a byte of every prompt; no policy is told.
inline constexpr double kTokensPerByte = 0.27;
inline constexpr std::uint64_t kPieceTokens = 4'000;
inline constexpr std::uint64_t kPieceBytes =
    static_cast<std::uint64_t>(kPieceTokens / kTokensPerByte);
/// Traffic runs quietly until the busy moment begins; half-way through it the
/// popularity of the documents changes.
inline constexpr std::chrono::seconds kBusyStart{10};
inline constexpr std::chrono::seconds kShift{40};
inline constexpr std::chrono::seconds kEnd{70};

/// Makes a trace.
/// @param load rate from the busy moment on, as a share of capacity
Trace MakeTrace(const Deployment& deployment, double load, std::uint64_t seed);

}  // namespace yuccapick::replay

#endif  // YUCCAPICK_UTIL_DETAIL_REPLAY_TRACE_H_
