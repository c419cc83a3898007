#ifndef YUCCAPICK_QUOTA_QUOTA_MESSAGES_H_
#define YUCCAPICK_QUOTA_QUOTA_MESSAGES_H_

/// @file
/// Messages between a gateway and the coordinator of a team's quota.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// What a gateway has used of a team's quota, and how much credit it wants.
/// Amounts are totals, and the newest sequence counts, so that lost, repeated
/// and reordered messages do no harm.
struct QuotaQueryEntry {
  TeamId team;
  std::uint64_t session = 0;   ///< Unique within the sender's incarnation.
  std::uint64_t sequence = 0;  ///< Increases within the session.
  /// Falls if an admitted request was not sent.
  std::uint64_t used = 0;
  /// Desired total of granted units; hands back the rest if it is lower than
  /// what was granted.
  std::uint64_t target = 0;
  /// Smallest grant that helps, if not all is available.
  std::uint64_t least = 0;
};

struct QuotaQuery {
  InstanceId from;
  Incarnation incarnation;
  std::string reply_to;  ///< `IP:PORT` for the answer.
  std::vector<QuotaQueryEntry> entries;
};

struct QuotaAnswerEntry {
  TeamId team;
  std::uint64_t session = 0;
  std::uint64_t sequence = 0;  ///< Of the query.
  std::uint64_t granted = 0;   ///< Total within the session.
  /// Less was granted than asked for, or the quota is in debt.
  bool exhausted = false;
  /// When a request that was refused may find room; 0 if none was.
  std::chrono::milliseconds retry_after{0};
};

struct QuotaAnswer {
  std::vector<QuotaAnswerEntry> entries;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_QUOTA_QUOTA_MESSAGES_H_
