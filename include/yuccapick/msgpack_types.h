#ifndef YUCCAPICK_MSGPACK_TYPES_H_
#define YUCCAPICK_MSGPACK_TYPES_H_

/// @file
/// MessagePack adaptors for identifiers and durations. Only files that encode
/// or decode messages include this.

#include <chrono>
#include <msgpack.hpp>

#include "yuccapick/error.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/upstream.h"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename Tag>
  struct convert<yuccapick::Name<Tag>> {
    const msgpack::object& operator()(const msgpack::object& o,
                                      yuccapick::Name<Tag>& v) const {
      o.convert(v.value);
      return o;
    }
  };
  template <typename Tag>
  struct pack<yuccapick::Name<Tag>> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& o,
                               const yuccapick::Name<Tag>& v) const {
      return o.pack(v.value);
    }
  };

  template <typename Tag>
  struct convert<yuccapick::Number<Tag>> {
    const msgpack::object& operator()(const msgpack::object& o,
                                      yuccapick::Number<Tag>& v) const {
      o.convert(v.value);
      return o;
    }
  };
  template <typename Tag>
  struct pack<yuccapick::Number<Tag>> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& o,
                               const yuccapick::Number<Tag>& v) const {
      return o.pack(v.value);
    }
  };

  template <>
  struct convert<std::chrono::milliseconds> {
    const msgpack::object& operator()(const msgpack::object& o,
                                      std::chrono::milliseconds& v) const {
      v = std::chrono::milliseconds(o.as<std::int64_t>());
      return o;
    }
  };
  template <>
  struct pack<std::chrono::milliseconds> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& o,
                               const std::chrono::milliseconds& v) const {
      return o.pack(static_cast<std::int64_t>(v.count()));
    }
  };

  }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack

MSGPACK_ADD_ENUM(yuccapick::UpstreamKind)
MSGPACK_ADD_ENUM(yuccapick::UpstreamState)
MSGPACK_ADD_ENUM(yuccapick::RequestKind)
MSGPACK_ADD_ENUM(yuccapick::Execution)
MSGPACK_ADD_ENUM(yuccapick::ErrorKind)

#endif  // YUCCAPICK_MSGPACK_TYPES_H_
