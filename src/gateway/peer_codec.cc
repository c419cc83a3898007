#include "gateway/peer_codec.h"

#include "yuccapick/msgpack_types.h"

MSGPACK_ADD_ENUM(yuccapick::SuspectKind)
MSGPACK_ADD_ENUM(yuccapick::TrialOutcome)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  /// Packs a struct as an array of the members that `Fields` ties together.
  template <typename T, typename Fields>
  struct PackAsArray {
    const msgpack::object& operator()(const msgpack::object& o, T& v) const {
      auto fields = Fields()(v);
      fields.msgpack_unpack(o);
      return o;
    }
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& o, const T& v) const {
      const auto fields = Fields()(const_cast<T&>(v));
      fields.msgpack_pack(o);
      return o;
    }
  };

  struct WorkReportFields {
    auto operator()(yuccapick::WorkReport& v) const {
      return msgpack::type::make_define_array(v.upstream, v.amount.requests,
                                              v.amount.kv_tokens,
                                              v.amount.prefill_tokens);
    }
  };
  struct PartKeyFields {
    auto operator()(yuccapick::PartKey& v) const {
      return msgpack::type::make_define_array(v.hash, v.tokens);
    }
  };
  struct PartUpdateFields {
    auto operator()(yuccapick::PartUpdate& v) const {
      return msgpack::type::make_define_array(v.upstream, v.part_hash,
                                              v.tokens);
    }
  };
  struct HolderRecordFields {
    auto operator()(yuccapick::HolderRecord& v) const {
      return msgpack::type::make_define_array(v.upstream, v.tokens, v.pending,
                                              v.age, v.kv_store);
    }
  };
  struct HoldersQueryFields {
    auto operator()(yuccapick::HoldersQuery& v) const {
      return msgpack::type::make_define_array(v.id, v.reply_to, v.part_hash);
    }
  };
  struct HoldersAnswerFields {
    auto operator()(yuccapick::HoldersAnswer& v) const {
      return msgpack::type::make_define_array(v.id, v.holders);
    }
  };
  struct HolderUpdateFields {
    auto operator()(yuccapick::HolderUpdate& v) const {
      return msgpack::type::make_define_array(v.part_hash, v.holder,
                                              v.from_cache);
    }
  };
  struct ObservedWeightsFields {
    auto operator()(yuccapick::ObservedWeights& v) const {
      return msgpack::type::make_define_array(v.upstream, v.model, v.weights);
    }
  };
  struct PeerReportFields {
    auto operator()(yuccapick::PeerReport& v) const {
      return msgpack::type::make_define_array(
          v.instance, v.incarnation, v.sequence, v.endpoint, v.store_reachable,
          v.config, v.operator_rows, v.upstream_rows, v.holds_rollout_lease,
          v.leaving, v.kv_store_lost, v.work, v.loading, v.weights, v.exported,
          v.parts, v.kv_store_tokens, v.rollout_lease.fence,
          v.rollout_lease.write, v.limits, v.leaving_upstreams,
          v.store_generation, v.kv_stores);
    }
  };
  struct KvStoreReportFields {
    auto operator()(yuccapick::KvStoreReport& v) const {
      return msgpack::type::make_define_array(v.endpoint, v.incarnation, v.lost,
                                              v.transferred_tokens, v.exported);
    }
  };
  struct MirrorRowFields {
    auto operator()(yuccapick::MirrorRow& v) const {
      return msgpack::type::make_define_array(v.key, v.value, v.version,
                                              v.removed);
    }
  };
  struct TableSnapshotFields {
    auto operator()(yuccapick::TableSnapshot& v) const {
      return msgpack::type::make_define_array(v.rows, v.as_of, v.generation);
    }
  };
  struct StreamOriginReportFields {
    auto operator()(yuccapick::StreamOriginReport& v) const {
      return msgpack::type::make_define_array(v.group.service, v.group.software,
                                              v.streams);
    }
  };
  struct TargetSetTimeFields {
    auto operator()(yuccapick::TargetSetTime& v) const {
      return msgpack::type::make_define_array(v.model, v.weights, v.set_after);
    }
  };
  struct PeerTablesFields {
    auto operator()(yuccapick::PeerTables& v) const {
      return msgpack::type::make_define_array(v.operator_rows, v.upstream_rows,
                                              v.target_set_times, v.store_time,
                                              v.suspect_decisions, v.config);
    }
  };
  struct SuspectIdFields {
    auto operator()(yuccapick::SuspectId& v) const {
      return msgpack::type::make_define_array(v.kind, v.hash);
    }
  };
  struct TrialResultFields {
    auto operator()(yuccapick::TrialResult& v) const {
      return msgpack::type::make_define_array(v.suspect, v.outcome);
    }
  };
  struct SuspectCrashFields {
    auto operator()(yuccapick::SuspectCrash& v) const {
      return msgpack::type::make_define_array(v.suspect, v.upstream, v.at);
    }
  };
  struct SuspectSurvivalFields {
    auto operator()(yuccapick::SuspectSurvival& v) const {
      return msgpack::type::make_define_array(v.suspect, v.began_at);
    }
  };
  struct SuspectReportFields {
    auto operator()(yuccapick::SuspectReport& v) const {
      return msgpack::type::make_define_array(
          v.crashes, v.survivals, v.wanted_trials, v.trial_results, v.from);
    }
  };
  struct UpstreamRunFields {
    auto operator()(yuccapick::UpstreamRun& v) const {
      return msgpack::type::make_define_array(v.id, v.incarnation);
    }
  };
  struct NamedLimitFields {
    auto operator()(yuccapick::NamedLimit& v) const {
      return msgpack::type::make_define_array(v.upstream, v.incarnation,
                                              v.per_second, v.seen_at);
    }
  };
  struct StoreConfirmationFields {
    auto operator()(yuccapick::StoreConfirmation& v) const {
      return msgpack::type::make_define_array(v.as_of, v.operator_rows,
                                              v.upstream_rows, v.generation);
    }
  };
  struct SuspectDecisionFields {
    auto operator()(yuccapick::SuspectDecision& v) const {
      return msgpack::type::make_define_array(
          v.suspect, v.blocked, v.decided_at, v.until, v.blocks, v.trial_by);
    }
  };

  template <>
  struct convert<yuccapick::WorkReport>
      : PackAsArray<yuccapick::WorkReport, WorkReportFields> {};
  template <>
  struct pack<yuccapick::WorkReport>
      : PackAsArray<yuccapick::WorkReport, WorkReportFields> {};
  template <>
  struct convert<yuccapick::PartKey>
      : PackAsArray<yuccapick::PartKey, PartKeyFields> {};
  template <>
  struct pack<yuccapick::PartKey>
      : PackAsArray<yuccapick::PartKey, PartKeyFields> {};
  template <>
  struct convert<yuccapick::PartUpdate>
      : PackAsArray<yuccapick::PartUpdate, PartUpdateFields> {};
  template <>
  struct pack<yuccapick::PartUpdate>
      : PackAsArray<yuccapick::PartUpdate, PartUpdateFields> {};
  template <>
  struct convert<yuccapick::HolderRecord>
      : PackAsArray<yuccapick::HolderRecord, HolderRecordFields> {};
  template <>
  struct pack<yuccapick::HolderRecord>
      : PackAsArray<yuccapick::HolderRecord, HolderRecordFields> {};
  template <>
  struct convert<yuccapick::HoldersQuery>
      : PackAsArray<yuccapick::HoldersQuery, HoldersQueryFields> {};
  template <>
  struct pack<yuccapick::HoldersQuery>
      : PackAsArray<yuccapick::HoldersQuery, HoldersQueryFields> {};
  template <>
  struct convert<yuccapick::HoldersAnswer>
      : PackAsArray<yuccapick::HoldersAnswer, HoldersAnswerFields> {};
  template <>
  struct pack<yuccapick::HoldersAnswer>
      : PackAsArray<yuccapick::HoldersAnswer, HoldersAnswerFields> {};
  template <>
  struct convert<yuccapick::HolderUpdate>
      : PackAsArray<yuccapick::HolderUpdate, HolderUpdateFields> {};
  template <>
  struct pack<yuccapick::HolderUpdate>
      : PackAsArray<yuccapick::HolderUpdate, HolderUpdateFields> {};
  template <>
  struct convert<yuccapick::ObservedWeights>
      : PackAsArray<yuccapick::ObservedWeights, ObservedWeightsFields> {};
  template <>
  struct pack<yuccapick::ObservedWeights>
      : PackAsArray<yuccapick::ObservedWeights, ObservedWeightsFields> {};
  template <>
  struct convert<yuccapick::UpstreamRun>
      : PackAsArray<yuccapick::UpstreamRun, UpstreamRunFields> {};
  template <>
  struct pack<yuccapick::UpstreamRun>
      : PackAsArray<yuccapick::UpstreamRun, UpstreamRunFields> {};
  template <>
  struct convert<yuccapick::KvStoreReport>
      : PackAsArray<yuccapick::KvStoreReport, KvStoreReportFields> {};
  template <>
  struct pack<yuccapick::KvStoreReport>
      : PackAsArray<yuccapick::KvStoreReport, KvStoreReportFields> {};
  template <>
  struct convert<yuccapick::PeerReport>
      : PackAsArray<yuccapick::PeerReport, PeerReportFields> {};
  template <>
  struct pack<yuccapick::PeerReport>
      : PackAsArray<yuccapick::PeerReport, PeerReportFields> {};
  template <>
  struct convert<yuccapick::MirrorRow>
      : PackAsArray<yuccapick::MirrorRow, MirrorRowFields> {};
  template <>
  struct pack<yuccapick::MirrorRow>
      : PackAsArray<yuccapick::MirrorRow, MirrorRowFields> {};
  template <>
  struct convert<yuccapick::TableSnapshot>
      : PackAsArray<yuccapick::TableSnapshot, TableSnapshotFields> {};
  template <>
  struct pack<yuccapick::TableSnapshot>
      : PackAsArray<yuccapick::TableSnapshot, TableSnapshotFields> {};
  template <>
  struct convert<yuccapick::StoreTime> {
    const msgpack::object& operator()(const msgpack::object& o,
                                      yuccapick::StoreTime& v) const {
      v = yuccapick::StoreTime(o.as<std::chrono::milliseconds>());
      return o;
    }
  };
  // The library prefers its own `as` for all times to the `convert` above.
  template <>
  struct as<yuccapick::StoreTime> {
    yuccapick::StoreTime operator()(const msgpack::object& o) const {
      return yuccapick::StoreTime(o.as<std::chrono::milliseconds>());
    }
  };
  template <>
  struct pack<yuccapick::StoreTime> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& o,
                               const yuccapick::StoreTime& v) const {
      return o.pack(v.time_since_epoch());
    }
  };
  template <>
  struct convert<yuccapick::StreamOriginReport>
      : PackAsArray<yuccapick::StreamOriginReport, StreamOriginReportFields> {};
  template <>
  struct pack<yuccapick::StreamOriginReport>
      : PackAsArray<yuccapick::StreamOriginReport, StreamOriginReportFields> {};
  template <>
  struct convert<yuccapick::TargetSetTime>
      : PackAsArray<yuccapick::TargetSetTime, TargetSetTimeFields> {};
  template <>
  struct pack<yuccapick::TargetSetTime>
      : PackAsArray<yuccapick::TargetSetTime, TargetSetTimeFields> {};
  template <>
  struct convert<yuccapick::SuspectId>
      : PackAsArray<yuccapick::SuspectId, SuspectIdFields> {};
  template <>
  struct pack<yuccapick::SuspectId>
      : PackAsArray<yuccapick::SuspectId, SuspectIdFields> {};
  template <>
  struct convert<yuccapick::TrialResult>
      : PackAsArray<yuccapick::TrialResult, TrialResultFields> {};
  template <>
  struct pack<yuccapick::TrialResult>
      : PackAsArray<yuccapick::TrialResult, TrialResultFields> {};
  template <>
  struct convert<yuccapick::SuspectCrash>
      : PackAsArray<yuccapick::SuspectCrash, SuspectCrashFields> {};
  template <>
  struct pack<yuccapick::SuspectCrash>
      : PackAsArray<yuccapick::SuspectCrash, SuspectCrashFields> {};
  template <>
  struct convert<yuccapick::SuspectSurvival>
      : PackAsArray<yuccapick::SuspectSurvival, SuspectSurvivalFields> {};
  template <>
  struct pack<yuccapick::SuspectSurvival>
      : PackAsArray<yuccapick::SuspectSurvival, SuspectSurvivalFields> {};
  template <>
  struct convert<yuccapick::SuspectReport>
      : PackAsArray<yuccapick::SuspectReport, SuspectReportFields> {};
  template <>
  struct pack<yuccapick::SuspectReport>
      : PackAsArray<yuccapick::SuspectReport, SuspectReportFields> {};
  template <>
  struct convert<yuccapick::SuspectDecision>
      : PackAsArray<yuccapick::SuspectDecision, SuspectDecisionFields> {};
  template <>
  struct pack<yuccapick::SuspectDecision>
      : PackAsArray<yuccapick::SuspectDecision, SuspectDecisionFields> {};
  template <>
  struct convert<yuccapick::NamedLimit>
      : PackAsArray<yuccapick::NamedLimit, NamedLimitFields> {};
  template <>
  struct pack<yuccapick::NamedLimit>
      : PackAsArray<yuccapick::NamedLimit, NamedLimitFields> {};
  template <>
  struct convert<yuccapick::StoreConfirmation>
      : PackAsArray<yuccapick::StoreConfirmation, StoreConfirmationFields> {};
  template <>
  struct pack<yuccapick::StoreConfirmation>
      : PackAsArray<yuccapick::StoreConfirmation, StoreConfirmationFields> {};
  template <>
  struct convert<yuccapick::PeerTables>
      : PackAsArray<yuccapick::PeerTables, PeerTablesFields> {};
  template <>
  struct pack<yuccapick::PeerTables>
      : PackAsArray<yuccapick::PeerTables, PeerTablesFields> {};

  }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack

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

std::string EncodePeerTables(const PeerTables& tables) {
  return Encode(tables);
}

std::optional<PeerTables> DecodePeerTables(std::string_view bytes) {
  return Decode<PeerTables>(bytes);
}

}  // namespace yuccapick
