#include "shell/link_codec.h"

#include <fmt/format.h>

#include <exception>
#include <msgpack.hpp>

#include "shell/link_fields.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxNestingDepth = 8;

}  // namespace

template <LinkMessage T>
std::string Encode(const T& message) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, message);
  return {buf.data(), buf.size()};
}

template <LinkMessage T>
absl::StatusOr<T> Decode(std::string_view payload) {
  try {
    const std::size_t n = payload.size();
    const msgpack::unpack_limit limit(n, n, n, n, n, kMaxNestingDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(payload.data(), n, nullptr, nullptr, limit);
    T message;
    handle.get().convert(message);
    return message;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(
        fmt::format("malformed link message of type {} ({}); run the same "
                    "release on both ends",
                    static_cast<int>(MessageTypeOf<T>()), e.what()));
  }
}

template std::string Encode(const AttemptRequest&);
template std::string Encode(const AnswerHead&);
template std::string Encode(const AnswerChunk&);
template std::string Encode(const AnswerEnd&);
template std::string Encode(const AttemptFailed&);
template std::string Encode(const WatchRequest&);
template std::string Encode(const AgentReport&);
template std::string Encode(const EngineOrder&);
template std::string Encode(const OrderResult&);

template absl::StatusOr<AttemptRequest> Decode(std::string_view);
template absl::StatusOr<AnswerHead> Decode(std::string_view);
template absl::StatusOr<AnswerChunk> Decode(std::string_view);
template absl::StatusOr<AnswerEnd> Decode(std::string_view);
template absl::StatusOr<AttemptFailed> Decode(std::string_view);
template absl::StatusOr<WatchRequest> Decode(std::string_view);
template absl::StatusOr<AgentReport> Decode(std::string_view);
template absl::StatusOr<EngineOrder> Decode(std::string_view);
template absl::StatusOr<OrderResult> Decode(std::string_view);

}  // namespace yuccapick
