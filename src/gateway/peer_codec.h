#ifndef YUCCAPICK_GATEWAY_PEER_CODEC_H_
#define YUCCAPICK_GATEWAY_PEER_CODEC_H_

/// @file
/// MessagePack encoding of the messages between gateways.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccapick/crash_quarantine.h"
#include "yuccapick/part_messages.h"
#include "yuccapick/peer_report.h"
#include "yuccapick/quota/quota_messages.h"
#include "yuccapick/store_clock.h"
#include "yuccapick/stream_origins.h"
#include "yuccapick/table_freshness.h"
#include "yuccapick/table_mirror.h"
#include "yuccapick/target_weights.h"
#include "yuccapick/upstream_limits.h"

namespace yuccapick {

/// Copies of the store's tables that a gateway serves to a peer.
struct PeerTables {
  TableSnapshot operator_rows;
  TableSnapshot upstream_rows;
  /// Empty if the sender runs an older version.
  std::vector<TargetSetTime> target_set_times;
  /// The store's time when this was sent, as far as the sender knows it.
  std::optional<StoreTime> store_time;
  std::vector<SuspectDecision> suspect_decisions;
  /// The operator's configuration in force if `operator_rows` lacks it, as
  /// while the store comes back from an older copy. Empty otherwise.
  std::string config;
};

/// What a gateway that fetches tables has of them.
struct KnownTables {
  TablePosition operator_rows;
  TablePosition upstream_rows;
  ConfigVersion config;  ///< In force.

  bool operator==(const KnownTables&) const = default;
};

/// @return text for a header field
std::string EncodeKnownTables(const KnownTables& known);
/// @return nullopt if the text is malformed
std::optional<KnownTables> DecodeKnownTables(std::string_view text);

std::string EncodePeerReport(const PeerReport& report);
/// @return nullopt if the bytes are malformed
std::optional<PeerReport> DecodePeerReport(std::string_view bytes);

// The following datagrams differ from each other, and from a `PeerReport`, in
// their first byte.

std::string EncodeStreamOrigins(const std::vector<StreamOriginReport>& origins);
/// @return nullopt if the bytes are malformed or hold another message
std::optional<std::vector<StreamOriginReport>> DecodeStreamOrigins(
    std::string_view bytes);

std::string EncodeSuspectReport(const SuspectReport& report);
/// @return nullopt if the bytes are malformed or hold another message
std::optional<SuspectReport> DecodeSuspectReport(std::string_view bytes);

std::string EncodeSuspectDecisions(
    const std::vector<SuspectDecision>& decisions);
/// @return nullopt if the bytes are malformed or hold another message
std::optional<std::vector<SuspectDecision>> DecodeSuspectDecisions(
    std::string_view bytes);

std::string EncodeNamedLimits(const std::vector<NamedLimit>& limits);
/// @return nullopt if the bytes are malformed or hold another message
std::optional<std::vector<NamedLimit>> DecodeNamedLimits(
    std::string_view bytes);

std::string EncodeStoreConfirmation(const StoreConfirmation& confirmation);
/// @return nullopt if the bytes are malformed or hold another message
std::optional<StoreConfirmation> DecodeStoreConfirmation(
    std::string_view bytes);

std::string EncodeHoldersQuery(const HoldersQuery& query);
/// @return nullopt if the bytes are malformed or hold another message
std::optional<HoldersQuery> DecodeHoldersQuery(std::string_view bytes);

std::string EncodeHoldersAnswer(const HoldersAnswer& answer);
/// @return nullopt if the bytes are malformed or hold another message
std::optional<HoldersAnswer> DecodeHoldersAnswer(std::string_view bytes);

std::string EncodeHolderUpdates(const std::vector<HolderUpdate>& updates);
/// @return nullopt if the bytes are malformed or hold another message
std::optional<std::vector<HolderUpdate>> DecodeHolderUpdates(
    std::string_view bytes);

std::string EncodeQuotaQuery(const QuotaQuery& query);
/// @return nullopt if the bytes are malformed or hold another message
std::optional<QuotaQuery> DecodeQuotaQuery(std::string_view bytes);

std::string EncodeQuotaAnswer(const QuotaAnswer& answer);
/// @return nullopt if the bytes are malformed or hold another message
std::optional<QuotaAnswer> DecodeQuotaAnswer(std::string_view bytes);

std::string EncodePeerTables(const PeerTables& tables);
/// @return nullopt if the bytes are malformed
std::optional<PeerTables> DecodePeerTables(std::string_view bytes);

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_PEER_CODEC_H_
