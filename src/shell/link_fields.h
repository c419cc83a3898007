#ifndef YUCCAPICK_SHELL_LINK_FIELDS_H_
#define YUCCAPICK_SHELL_LINK_FIELDS_H_

/// @file
/// Fields of the link messages in wire order, and MessagePack adaptors that
/// validate every value. A message is encoded as an array of its fields. The
/// decoder ignores additional fields and rejects messages with missing ones.

#include <chrono>
#include <concepts>
#include <cstdint>
#include <msgpack.hpp>
#include <type_traits>

#include "yuccapick/link_messages.h"
#include "yuccapick/msgpack_types.h"

namespace yuccapick::link {

constexpr std::chrono::milliseconds kMaxDuration = std::chrono::hours(24);

/// Returns the last enumerator, which bounds the values accepted from a peer.
constexpr UpstreamKind MaxValueOf(UpstreamKind) {
  return UpstreamKind::kKvStore;
}
constexpr UpstreamState MaxValueOf(UpstreamState) {
  return UpstreamState::kGone;
}
constexpr RequestKind MaxValueOf(RequestKind) { return RequestKind::kPlain; }
constexpr Execution MaxValueOf(Execution) { return Execution::kUnknown; }
constexpr ErrorKind MaxValueOf(ErrorKind) { return ErrorKind::kInternal; }
constexpr EngineOrder::Kind MaxValueOf(EngineOrder::Kind) {
  return EngineOrder::Kind::kSetRole;
}

/// Calls `f` with all fields of a message, in wire order.
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, Header> {
  return f(v.name, v.value);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, LoadedModel> {
  return f(v.model, v.adapter, v.weights);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, LoadReport> {
  return f(v.running, v.queued, v.queued_prefill_tokens,
           v.prefill_tokens_per_second, v.decode_tokens_per_second,
           v.cached_blocks, v.capacity_blocks);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, UpstreamInfo> {
  return f(v.id, v.kind, v.domain, v.region, v.agent_host, v.agent_port,
           v.agent_incarnation, v.engine_incarnation, v.state, v.services,
           v.loaded);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, Error> {
  return f(v.kind, v.execution, v.message, v.retry_after);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, AttemptRequest> {
  return f(v.attempt, v.team, v.service, v.kind, v.agent_incarnation,
           v.engine_incarnation, v.config, v.key, v.fence, v.claimed, v.model,
           v.adapter, v.weights, v.chain, v.cache_salt, v.urgent, v.streamed,
           v.deadline, v.resume_from, v.resume_attempt, v.continuation,
           v.method, v.target, v.headers, v.body, v.chain_end_bytes,
           v.take_over, v.key_generated);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, Usage> {
  return f(v.prompt_tokens, v.cached_tokens, v.completion_tokens);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, AnswerHead> {
  return f(v.attempt, v.status, v.headers);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, AnswerChunk> {
  return f(v.attempt, v.position, v.data, v.text);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, AnswerEnd> {
  return f(v.attempt, v.positions, v.usage);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, AttemptFailed> {
  return f(v.attempt, v.error, v.agent_incarnation, v.engine_incarnation,
           v.config, v.resumable);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, DigestEntry> {
  return f(v.chain_hash, v.tokens, v.idle);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, AgentReport> {
  return f(v.upstream, v.config, v.sequence, v.load, v.digest_is_full, v.digest,
           v.evicted);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, WatchRequest> {
  return f(v.watcher, v.config, v.interval);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, EngineOrder> {
  return f(v.id, v.kind, v.fence, v.agent_incarnation, v.target, v.role);
}
auto WithFields(auto& v, auto&& f) requires
    std::same_as<std::remove_cvref_t<decltype(v)>, OrderResult> {
  return f(v.id, v.accepted, v.error, v.highest_fence);
}

struct FieldsProbe {
  int operator()(auto&... /*fields*/) const { return 0; }
};

/// Types for which `WithFields` is defined above.
template <typename T>
concept HasFields = requires(T& v) {
  WithFields(v, FieldsProbe());
};

/// Throws `msgpack::type_error` if a decoded value is outside its range.
template <typename T>
void ValidateField(const T& field) {
  if constexpr (std::is_enum_v<T>) {
    if (field < T{} || field > MaxValueOf(T{})) throw msgpack::type_error();
  } else if constexpr (std::same_as<T, std::chrono::milliseconds>) {
    if (field.count() < 0 || field > kMaxDuration) {
      throw msgpack::type_error();
    }
  } else if constexpr (std::same_as<T, double>) {
    if (!(field >= 0 && field < 1e18)) throw msgpack::type_error();
  }
}

}  // namespace yuccapick::link

MSGPACK_ADD_ENUM(yuccapick::EngineOrder::Kind)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <yuccapick::link::HasFields T>
  struct convert<T> {
    const msgpack::object& operator()(const msgpack::object& o, T& v) const {
      if (o.type != msgpack::type::ARRAY) throw msgpack::type_error();
      yuccapick::link::WithFields(v, [&o](auto&... fields) {
        if (o.via.array.size < sizeof...(fields)) throw msgpack::type_error();
        std::uint32_t i = 0;
        ((o.via.array.ptr[i++].convert(fields),
          yuccapick::link::ValidateField(fields)),
         ...);
        return 0;
      });
      return o;
    }
  };

  template <yuccapick::link::HasFields T>
  struct pack<T> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& o, const T& v) const {
      yuccapick::link::WithFields(v, [&o](const auto&... fields) {
        o.pack_array(sizeof...(fields));
        (o.pack(fields), ...);
        return 0;
      });
      return o;
    }
  };

  }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack

#endif  // YUCCAPICK_SHELL_LINK_FIELDS_H_
