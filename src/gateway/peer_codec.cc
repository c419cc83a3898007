#include "gateway/peer_codec.h"

#include <fmt/format.h>

#include <array>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "gateway/peer_message_types.h"

namespace yuccapick {
namespace {

// First bytes of datagrams: MessagePack numbers, which no report begins with.
constexpr char kStreamOriginsTag = 1;
constexpr char kSuspectReportTag = 2;
constexpr char kSuspectDecisionsTag = 3;
constexpr char kNamedLimitsTag = 4;
constexpr char kStoreConfirmationTag = 5;
constexpr char kHoldersQueryTag = 6;
constexpr char kHoldersAnswerTag = 7;
constexpr char kHolderUpdatesTag = 8;
constexpr char kQuotaQueryTag = 9;
constexpr char kQuotaAnswerTag = 10;

template <typename T>
std::string Encode(const T& message) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, message);
  return {buf.data(), buf.size()};
}

template <typename T>
std::optional<T> Decode(std::string_view bytes) {
  try {
    T message;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size());
    handle.get().convert(message);
    return message;
  } catch (const std::exception&) {
    // msgpack throws its own exception types and standard ones.
    return std::nullopt;
  }
}

template <typename T>
std::optional<T> DecodeTagged(std::string_view bytes, char tag) {
  if (!bytes.starts_with(tag)) return std::nullopt;
  return Decode<T>(bytes.substr(1));
}

}  // namespace

std::string EncodePeerReport(const PeerReport& report) {
  return Encode(report);
}

std::optional<PeerReport> DecodePeerReport(std::string_view bytes) {
  return Decode<PeerReport>(bytes);
}

std::string EncodeStreamOrigins(
    const std::vector<StreamOriginReport>& origins) {
  return kStreamOriginsTag + Encode(origins);
}

std::optional<std::vector<StreamOriginReport>> DecodeStreamOrigins(
    std::string_view bytes) {
  return DecodeTagged<std::vector<StreamOriginReport>>(bytes,
                                                       kStreamOriginsTag);
}

std::string EncodeSuspectReport(const SuspectReport& report) {
  return kSuspectReportTag + Encode(report);
}

std::optional<SuspectReport> DecodeSuspectReport(std::string_view bytes) {
  return DecodeTagged<SuspectReport>(bytes, kSuspectReportTag);
}

std::string EncodeSuspectDecisions(
    const std::vector<SuspectDecision>& decisions) {
  return kSuspectDecisionsTag + Encode(decisions);
}

std::optional<std::vector<SuspectDecision>> DecodeSuspectDecisions(
    std::string_view bytes) {
  return DecodeTagged<std::vector<SuspectDecision>>(bytes,
                                                    kSuspectDecisionsTag);
}

std::string EncodeNamedLimits(const std::vector<NamedLimit>& limits) {
  return kNamedLimitsTag + Encode(limits);
}

std::optional<std::vector<NamedLimit>> DecodeNamedLimits(
    std::string_view bytes) {
  return DecodeTagged<std::vector<NamedLimit>>(bytes, kNamedLimitsTag);
}

std::string EncodeStoreConfirmation(const StoreConfirmation& confirmation) {
  return kStoreConfirmationTag + Encode(confirmation);
}

std::optional<StoreConfirmation> DecodeStoreConfirmation(
    std::string_view bytes) {
  return DecodeTagged<StoreConfirmation>(bytes, kStoreConfirmationTag);
}

std::string EncodeHoldersQuery(const HoldersQuery& query) {
  return kHoldersQueryTag + Encode(query);
}

std::optional<HoldersQuery> DecodeHoldersQuery(std::string_view bytes) {
  return DecodeTagged<HoldersQuery>(bytes, kHoldersQueryTag);
}

std::string EncodeHoldersAnswer(const HoldersAnswer& answer) {
  return kHoldersAnswerTag + Encode(answer);
}

std::optional<HoldersAnswer> DecodeHoldersAnswer(std::string_view bytes) {
  return DecodeTagged<HoldersAnswer>(bytes, kHoldersAnswerTag);
}

std::string EncodeHolderUpdates(const std::vector<HolderUpdate>& updates) {
  return kHolderUpdatesTag + Encode(updates);
}

std::optional<std::vector<HolderUpdate>> DecodeHolderUpdates(
    std::string_view bytes) {
  return DecodeTagged<std::vector<HolderUpdate>>(bytes, kHolderUpdatesTag);
}

std::string EncodeQuotaQuery(const QuotaQuery& query) {
  return kQuotaQueryTag + Encode(query);
}

std::optional<QuotaQuery> DecodeQuotaQuery(std::string_view bytes) {
  return DecodeTagged<QuotaQuery>(bytes, kQuotaQueryTag);
}

std::string EncodeQuotaAnswer(const QuotaAnswer& answer) {
  return kQuotaAnswerTag + Encode(answer);
}

std::optional<QuotaAnswer> DecodeQuotaAnswer(std::string_view bytes) {
  return DecodeTagged<QuotaAnswer>(bytes, kQuotaAnswerTag);
}

std::string EncodeKnownTables(const KnownTables& known) {
  return fmt::format("{},{},{},{},{}", known.operator_rows.generation.value,
                     known.operator_rows.version,
                     known.upstream_rows.generation.value,
                     known.upstream_rows.version, known.config.value);
}

std::optional<KnownTables> DecodeKnownTables(std::string_view text) {
  std::array<std::uint64_t, 5> numbers{};
  const std::vector<std::string> fields =
      absl::StrSplit(absl::string_view(text.data(), text.size()), ',');
  if (fields.size() != numbers.size()) return std::nullopt;
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (!absl::SimpleAtoi(fields[i], &numbers[i])) return std::nullopt;
  }
  return KnownTables{{StoreGeneration(numbers[0]), numbers[1]},
                     {StoreGeneration(numbers[2]), numbers[3]},
                     ConfigVersion(numbers[4])};
}

std::string EncodePeerTables(const PeerTables& tables) {
  return Encode(tables);
}

std::optional<PeerTables> DecodePeerTables(std::string_view bytes) {
  return Decode<PeerTables>(bytes);
}

}  // namespace yuccapick
