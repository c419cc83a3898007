#ifndef YUCCAPICK_GATEWAY_PEER_MESSAGE_TYPES_H_
#define YUCCAPICK_GATEWAY_PEER_MESSAGE_TYPES_H_

/// @file
/// MessagePack adaptors for the messages between gateways. Include it only in
/// files that encode or decode these.

#include "gateway/peer_codec.h"
#include "yuccapick/msgpack_types.h"

MSGPACK_ADD_ENUM(yuccapick::SuspectKind)
MSGPACK_ADD_ENUM(yuccapick::TrialOutcome)

namespace yuccapick {

// Each overload ties the members of a message in the order in which they are
// packed. New members come last, so that older gateways can read the others.

inline auto PackedFields(WorkReport& v) {
  return msgpack::type::make_define_array(
      v.upstream, v.amount.requests, v.amount.kv_tokens,
      v.amount.prefill_tokens, v.amount.urgent_tokens);
}
inline auto PackedFields(TeamWork& v) {
  return msgpack::type::make_define_array(v.team_hash, v.tokens);
}
inline auto PackedFields(PartKey& v) {
  return msgpack::type::make_define_array(v.hash, v.tokens);
}
inline auto PackedFields(PartUpdate& v) {
  return msgpack::type::make_define_array(v.upstream, v.part_hash, v.tokens);
}
inline auto PackedFields(HolderRecord& v) {
  return msgpack::type::make_define_array(v.upstream, v.tokens, v.pending,
                                          v.age, v.kv_store);
}
inline auto PackedFields(HoldersQuery& v) {
  return msgpack::type::make_define_array(v.id, v.reply_to, v.part_hash);
}
inline auto PackedFields(HoldersAnswer& v) {
  return msgpack::type::make_define_array(v.id, v.holders);
}
inline auto PackedFields(HolderUpdate& v) {
  return msgpack::type::make_define_array(v.part_hash, v.holder, v.from_cache);
}
inline auto PackedFields(ObservedWeights& v) {
  return msgpack::type::make_define_array(v.upstream, v.model, v.weights);
}
inline auto PackedFields(SpeedReport& v) {
  return msgpack::type::make_define_array(v.upstream_hash, v.incarnation,
                                          v.log_ratio_sum, v.samples);
}
inline auto PackedFields(UnreachableReport& v) {
  return msgpack::type::make_define_array(v.upstream_hash, v.incarnation,
                                          v.age);
}
inline auto PackedFields(PeerReport& v) {
  return msgpack::type::make_define_array(
      v.instance, v.incarnation, v.sequence, v.endpoint, v.store_reachable,
      v.config, v.operator_rows, v.upstream_rows, v.holds_rollout_lease,
      v.leaving, v.kv_store_lost, v.work, v.loading, v.weights, v.exported,
      v.parts, v.kv_store_tokens, v.rollout_lease.fence, v.rollout_lease.write,
      v.limits, v.leaving_upstreams, v.store_generation, v.kv_stores, v.members,
      v.gateways, v.team_work, v.speeds, v.unreachable, v.store_answered_at);
}
inline auto PackedFields(KvStoreReport& v) {
  return msgpack::type::make_define_array(v.endpoint, v.incarnation, v.lost,
                                          v.transferred_tokens, v.exported);
}
inline auto PackedFields(QuotaQueryEntry& v) {
  return msgpack::type::make_define_array(v.team, v.session, v.sequence, v.used,
                                          v.target, v.least);
}
inline auto PackedFields(QuotaQuery& v) {
  return msgpack::type::make_define_array(v.from, v.incarnation, v.reply_to,
                                          v.entries);
}
inline auto PackedFields(QuotaAnswerEntry& v) {
  return msgpack::type::make_define_array(
      v.team, v.session, v.sequence, v.granted, v.exhausted, v.retry_after);
}
inline auto PackedFields(QuotaAnswer& v) {
  return msgpack::type::make_define_array(v.entries);
}
inline auto PackedFields(MirrorRow& v) {
  return msgpack::type::make_define_array(v.key, v.value, v.version, v.removed);
}
inline auto PackedFields(TableSnapshot& v) {
  return msgpack::type::make_define_array(v.rows, v.as_of, v.generation);
}
inline auto PackedFields(StreamOriginReport& v) {
  return msgpack::type::make_define_array(v.group.service, v.group.software,
                                          v.streams);
}
inline auto PackedFields(TargetSetTime& v) {
  return msgpack::type::make_define_array(v.model, v.weights, v.set_after);
}
inline auto PackedFields(PeerTables& v) {
  return msgpack::type::make_define_array(v.operator_rows, v.upstream_rows,
                                          v.target_set_times, v.store_time,
                                          v.suspect_decisions, v.config);
}
inline auto PackedFields(SuspectId& v) {
  return msgpack::type::make_define_array(v.kind, v.hash);
}
inline auto PackedFields(TrialResult& v) {
  return msgpack::type::make_define_array(v.suspect, v.outcome);
}
inline auto PackedFields(SuspectCrash& v) {
  return msgpack::type::make_define_array(v.suspect, v.upstream, v.at);
}
inline auto PackedFields(SuspectSurvival& v) {
  return msgpack::type::make_define_array(v.suspect, v.began_at);
}
inline auto PackedFields(SuspectReport& v) {
  return msgpack::type::make_define_array(
      v.crashes, v.survivals, v.wanted_trials, v.trial_results, v.from);
}
inline auto PackedFields(UpstreamRun& v) {
  return msgpack::type::make_define_array(v.id, v.incarnation);
}
inline auto PackedFields(NamedLimit& v) {
  return msgpack::type::make_define_array(v.upstream, v.incarnation,
                                          v.per_second, v.seen_at);
}
inline auto PackedFields(StoreConfirmation& v) {
  return msgpack::type::make_define_array(v.as_of, v.operator_rows,
                                          v.upstream_rows, v.generation);
}
inline auto PackedFields(SuspectDecision& v) {
  return msgpack::type::make_define_array(v.suspect, v.blocked, v.decided_at,
                                          v.until, v.blocks, v.trial_by);
}

/// A message that is packed as an array of its `PackedFields`.
template <typename T>
concept PackedByFields = requires(T& v) {
  PackedFields(v);
};

}  // namespace yuccapick

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <yuccapick::PackedByFields T>
  struct convert<T, void> {
    const msgpack::object& operator()(const msgpack::object& o, T& v) const {
      auto fields = PackedFields(v);
      fields.msgpack_unpack(o);
      return o;
    }
  };
  template <yuccapick::PackedByFields T>
  struct pack<T, void> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& o, const T& v) const {
      // Packing changes nothing; the fields are tied as references.
      const auto fields = PackedFields(const_cast<T&>(v));
      fields.msgpack_pack(o);
      return o;
    }
  };

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

  }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack

#endif  // YUCCAPICK_GATEWAY_PEER_MESSAGE_TYPES_H_
