#ifndef YUCCAPICK_UTIL_DETAIL_REPLAY_TRACE_H_
#define YUCCAPICK_UTIL_DETAIL_REPLAY_TRACE_H_

/// @file
/// Generates request traces of sample deployments from a seed.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "yuccapick/prefix.h"

namespace yuccapick::replay {

/// Size of a deployment and characteristics of its traffic.
struct Deployment {
  std::string name;
  std::uint32_t engines = 18;
  std::uint32_t domains = 3;
  std::uint32_t routers = 3;
  std::uint32_t teams = 8;
  std::uint32_t services_per_team = 2;
  std::uint32_t documents_per_service = 12;
  double team_skew = 1.0;      ///< Zipf exponent of the teams' traffic.
  double document_skew = 1.0;  ///< Zipf exponent of a service's documents.
  std::uint32_t max_document_pieces = 6;
  std::uint32_t min_question_tokens = 150;  ///< Tokens.
  std::uint32_t max_question_tokens = 1'200;
  std::uint32_t max_answer_tokens = 300;
  double urgent_share = 0.1;
  double reuse_weight = 0.5;
  std::uint32_t cache_pieces = 48;  ///< Per engine.
  double prefill_tokens_per_second = 12'000;
  std::chrono::microseconds caller_delay{1'000};      ///< One way.
  std::chrono::microseconds cross_domain_delay{500};  ///< One way.
  std::chrono::milliseconds report_delay{150};  ///< Of load and cache digests.
};

/// Returns the deployment `sendetechnik`, or `kneadwell` for any other name.
Deployment MakeDeployment(const std::string& name);

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
  std::vector<TraceRequest> requests;  ///< In order of arrival.
};

/// Tokens per byte of every prompt. Policies do not read it.
inline constexpr double kTokensPerByte = 0.27;
inline constexpr std::uint64_t kPieceTokens = 4'000;
inline constexpr std::uint64_t kPieceBytes =
    static_cast<std::uint64_t>(kPieceTokens / kTokensPerByte);
/// The load is low until `kBusyStart`. Halfway through the busy period the
/// popularity of the documents changes.
inline constexpr std::chrono::seconds kBusyStart{10};
inline constexpr std::chrono::seconds kPopularityShiftTime{40};
inline constexpr std::chrono::seconds kTraceEnd{70};

/// Generates a trace.
/// @param load request rate of the busy period, relative to the capacity
Trace MakeTrace(const Deployment& deployment, double load, std::uint64_t seed);

}  // namespace yuccapick::replay

#endif  // YUCCAPICK_UTIL_DETAIL_REPLAY_TRACE_H_
