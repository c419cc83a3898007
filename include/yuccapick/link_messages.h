#ifndef YUCCAPICK_LINK_MESSAGES_H_
#define YUCCAPICK_LINK_MESSAGES_H_

/// @file
/// Messages between routers and agents. Fields travel in the order they are
/// declared; new ones are added at the end.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "yuccapick/error.h"
#include "yuccapick/ids.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// What a caller asks for.
enum class RequestKind : std::uint8_t { kChatCompletion, kCompletion, kPlain };

/// An HTTP header field.
struct Header {
  std::string name;  ///< Lower case.
  std::string value;

  bool operator==(const Header&) const = default;
};

/// Asks an agent to pass one attempt on to its upstream.
struct AttemptRequest {
  AttemptId attempt;
  TeamId team;
  ServiceId service;
  RequestKind kind = RequestKind::kPlain;

  Incarnation agent_incarnation;   ///< The one that the router decided for.
  Incarnation engine_incarnation;  ///< Zero when nothing cached is relied on.
  ConfigVersion config;            ///< The decision was made under this one.

  IdempotencyKey key;   ///< Empty for idempotent work.
  FencingToken fence;   ///< Of the claim on `key`.
  bool claimed = true;  ///< False when the table holds no claim on `key`.

  ModelId model;
  AdapterId adapter;
  WeightVersion weights;
  std::vector<std::uint64_t> chain;  ///< Prefix chain, coarsest level first.
  std::uint64_t cache_salt = 0;      ///< Scope of cache entries; see prefix.h.

  bool urgent = false;
  bool streamed = false;
  std::chrono::milliseconds deadline{0};  ///< Time left when it was sent.

  std::uint64_t resume_from = 0;  ///< First position that is still missing.
  AttemptId resume_attempt;       ///< Attempt to resume on the same engine.
  std::string continuation;       ///< Text already delivered to the caller.

  std::string method;
  std::string target;  ///< Path and query below the service.
  std::vector<Header> headers;
  std::string body;

  /// Prompt bytes up to the end of each piece of `chain`; may be empty.
  std::vector<std::uint64_t> chain_end_bytes;
  bool take_over = false;      ///< An attempt with a lower `fence` may be out.
  bool key_generated = false;  ///< By the router; no caller can repeat it.
};

/// Tokens that an engine reports for one answer.
struct Usage {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;  ///< Prompt tokens found in the cache.
  std::uint64_t completion_tokens = 0;
};

/// Begins the answer of an attempt.
struct AnswerHead {
  AttemptId attempt;
  std::uint32_t status = 200;
  std::vector<Header> headers;
};

/// A part of an answer. Positions count parts of the whole answer from 0, also
/// over resumption and continuation.
struct AnswerChunk {
  AttemptId attempt;
  std::uint64_t position = 0;
  std::string data;  ///< Body bytes; for a model stream one event's payload.
  std::string text;  ///< For a model stream: the text that `data` adds.
};

/// Ends an answer that is whole.
struct AnswerEnd {
  AttemptId attempt;
  std::uint64_t positions = 0;  ///< Number of parts of the whole answer.
  Usage usage;
};

/// Ends an attempt without a whole answer.
struct AttemptFailed {
  AttemptId attempt;
  Error error;
  Incarnation agent_incarnation;
  Incarnation engine_incarnation;
  ConfigVersion config;    ///< In force at the agent.
  bool resumable = false;  ///< The engine still holds the stream.
};

/// Cached prefix that a digest names.
struct DigestEntry {
  std::uint64_t chain_hash = 0;      ///< Chain hash of the prefix's last piece.
  std::uint32_t tokens = 0;          ///< Tokens from the start of the prompt.
  std::chrono::milliseconds idle{};  ///< Since the entry was last used.
};

/// What an agent pushes to the routers that watch it; also its heartbeat.
struct AgentReport {
  UpstreamInfo upstream;
  ConfigVersion config;
  std::uint64_t sequence = 0;  ///< Rises by one with each report.
  LoadReport load;
  bool digest_is_full = false;      ///< Replaces the picture, else adds to it.
  std::vector<DigestEntry> digest;  ///< Entries new since the last report.
  std::vector<std::uint64_t> evicted;  ///< Chain hashes no longer cached.
};

/// Begins a watch on an agent.
struct WatchRequest {
  InstanceId watcher;
  ConfigVersion config;  ///< In force at the watcher.
  std::chrono::milliseconds interval{500};
};

/// An order to an engine, decided by the planner that holds the lease.
struct EngineOrder {
  enum class Kind : std::uint8_t { kLoad, kUnload, kSetRole };
  std::string id;
  Kind kind = Kind::kLoad;
  FencingToken fence;  ///< Of the planner's lease.
  Incarnation agent_incarnation;
  LoadedModel target;
  std::string role;
};

/// An agent's answer to an order.
struct OrderResult {
  std::string id;
  bool accepted = false;
  Error error;  ///< Meaningful when the order was not accepted.
  FencingToken highest_fence;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LINK_MESSAGES_H_
