#ifndef YUCCAPICK_PART_MESSAGES_H_
#define YUCCAPICK_PART_MESSAGES_H_

/// @file
/// Messages by which gateways share what they know of cached prompt parts. Each
/// part has one owner among them, which collects what is known of its holders.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// What is known of one engine, or KV store, and one prompt part.
struct HolderRecord {
  UpstreamId upstream;       ///< A KV store has its endpoint as id.
  std::uint32_t tokens = 0;  ///< From the part's beginning; 0 if evicted.
  bool pending = false;      ///< Being computed.
  /// How old the knowledge was when the record was sent.
  std::chrono::milliseconds age{0};
  bool kv_store = false;  ///< The holder is a KV store.

  bool operator==(const HolderRecord&) const = default;
};

/// Asks a part's owner which engines hold it.
struct HoldersQuery {
  std::uint64_t id = 0;  ///< Unique among the sender's queries.
  std::string reply_to;  ///< `IP:PORT` of the sender.
  std::uint64_t part_hash = 0;

  bool operator==(const HoldersQuery&) const = default;
};

/// Answers a `HoldersQuery`.
struct HoldersAnswer {
  std::uint64_t id = 0;  ///< Of the query.
  std::vector<HolderRecord> holders;

  bool operator==(const HoldersAnswer&) const = default;
};

/// Tells a part's owner what an engine holds of it now.
struct HolderUpdate {
  std::uint64_t part_hash = 0;
  HolderRecord holder;
  /// The cache itself reported it. Such updates are ignored if the part is
  /// unknown: most of them are about parts that only one request has.
  bool from_cache = false;

  bool operator==(const HolderUpdate&) const = default;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PART_MESSAGES_H_
