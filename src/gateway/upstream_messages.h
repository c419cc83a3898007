#ifndef YUCCAPICK_GATEWAY_UPSTREAM_MESSAGES_H_
#define YUCCAPICK_GATEWAY_UPSTREAM_MESSAGES_H_

/// @file
/// What requests, attempts and answers say, decoded. `platform/` maps these to
/// and from the fields on the wire.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccapick/direct_placement.h"
#include "yuccapick/ids.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// What a caller says of its request.
struct CallerHead {
  std::string attempt_id;
  std::optional<std::chrono::milliseconds> time_limit;
  std::string key;  ///< API key; empty if none was sent.
  ModelId model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::optional<std::uint32_t> expected_output_tokens;
  std::vector<PromptPart> parts;
  std::optional<std::uint64_t> last_event_id;  ///< The caller resumes here.
};

/// What the gateway tells an upstream beside the caller's own fields.
struct AttemptHead {
  UpstreamId upstream;
  std::optional<WeightVersionNumber>
      weights;  ///< Refused by any other version.
  std::chrono::milliseconds time_left{0};
  std::optional<TeamId> team;
  std::string cache_scope;
  std::string import_from;  ///< Endpoint to fetch cached parts from, or empty.
  std::string export_to;    ///< Endpoint to store cached parts at, or empty.
  std::optional<int> urgency;  ///< 0 is the most urgent.
  std::optional<std::uint64_t> last_event_id;
};

/// What an upstream says of its answer.
struct AnswerFacts {
  std::string attempt_id;  ///< Empty if the upstream did not echo it.
  bool proven = false;     ///< It carries the upstream's proof.
  bool not_executed = false;
  bool wrong_upstream = false;
  bool encoded = false;  ///< The body is not as the upstream made it.
  bool event_stream = false;
  std::optional<WeightVersionNumber> weights;
};

/// Life of an upstream's order to load weights.
struct LoadOrder {
  ModelId model;
  WeightVersionNumber weights = 0;
  std::string holder;  ///< Who gives the order.
  FencingToken fence;
  std::uint64_t expected_orders = 0;  ///< Orders accepted before this one.
};

/// An upstream's report on itself.
struct UpstreamReport {
  std::map<ModelId, WeightVersionNumber> weights;
  bool busy = false;  ///< An order is being carried out.
  std::uint64_t orders_accepted = 0;
  std::optional<Incarnation> incarnation;
};

/// Changes of one cache, in order.
struct CacheEvents {
  Incarnation incarnation;  ///< Changes when the cache starts empty again.
  std::uint64_t next = 0;   ///< Where to go on.
  bool gap = false;         ///< Events before these are not to be had.
  std::vector<CacheChange> changes;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_UPSTREAM_MESSAGES_H_
