#ifndef YUCCAPICK_GATEWAY_UPSTREAM_MESSAGES_H_
#define YUCCAPICK_GATEWAY_UPSTREAM_MESSAGES_H_

/// @file
/// Decoded contents of requests, attempts and answers. `platform/` maps these
/// to and from their form on the wire.

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

/// Decoded header fields of a caller's request.
struct CallerHeaders {
  std::string attempt_id;
  std::optional<std::chrono::milliseconds> time_limit;
  std::string key;  ///< API key; empty if none was sent.
  ModelId model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// Sum of the two above; nullopt if the request states none.
  std::optional<std::uint64_t> stated_tokens;
  std::optional<std::uint32_t> expected_output_tokens;
  std::vector<PromptPart> parts;
  std::optional<std::uint64_t> last_event_id;  ///< The stream resumes after it.
  /// Attempt id under which the caller got the stream's first event, if it
  /// resumes one.
  std::string resumes;
};

/// Fields that the gateway adds to the caller's when it calls an upstream.
struct AttemptHeaders {
  UpstreamId upstream;
  /// An upstream with other weights must refuse the request.
  std::optional<WeightVersionNumber> weights;
  std::chrono::milliseconds time_left{0};
  std::optional<TeamId> team;
  std::string cache_scope;
  std::string import_from;  ///< Endpoint to fetch cached parts from, or empty.
  std::string export_to;    ///< Endpoint to store cached parts at, or empty.
  std::optional<int> urgency;  ///< 0 is the most urgent.
  std::optional<std::uint64_t> last_event_id;
};

/// Decoded header fields of an upstream's answer.
struct AnswerInfo {
  std::string attempt_id;      ///< Empty if the upstream did not echo it.
  bool authenticated = false;  ///< It carries the upstream's seal.
  bool not_executed = false;
  bool wrong_upstream = false;
  bool content_encoded = false;  ///< The body has a content coding.
  bool event_stream = false;
  std::optional<WeightVersionNumber> weights;
  /// Requests a second that the upstream takes from all gateways together.
  std::optional<double> requests_per_second;
  /// It names such a limit, but the value is malformed or negative.
  bool limit_unreadable = false;
  /// Set if the upstream rejected the request and wants none from this gateway
  /// for so long.
  std::optional<std::chrono::milliseconds> pause;
  /// It asks for a pause, but the value is malformed or negative.
  bool pause_unreadable = false;
  bool leaving = false;  ///< The upstream says that it is about to stop.
};

/// Order to an upstream to load weights.
struct LoadOrder {
  ModelId model;
  WeightVersionNumber weights = 0;
  std::string holder;  ///< Lease holder that sends the order.
  FencingToken fence;
  std::uint64_t expected_orders = 0;  ///< Orders accepted before this one.
};

/// An upstream's status report.
struct UpstreamReport {
  std::map<ModelId, WeightVersionNumber> weights;
  bool busy = false;  ///< An order is being executed.
  std::uint64_t orders_accepted = 0;
  std::optional<Incarnation> incarnation;
};

/// A change of a cache with its place in the order of all changes.
struct NumberedChange {
  std::uint64_t number = 0;
  CacheChange change;
};

/// Changes of one cache, in order.
struct CacheEvents {
  Incarnation incarnation;  ///< Changes when the cache restarts empty.
  std::uint64_t next = 0;   ///< Event number from which to continue.
  bool gap = false;         ///< Earlier events were lost.
  std::vector<NumberedChange> changes;
  std::size_t unreadable = 0;  ///< Changes that were left out.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_UPSTREAM_MESSAGES_H_
