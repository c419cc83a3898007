#ifndef YUCCAPICK_ERROR_MESSAGES_H_
#define YUCCAPICK_ERROR_MESSAGES_H_

/// @file
/// Error messages of the API towards callers. Each names the field, header or
/// name at fault and the remedy.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "yuccapick/config_snapshot.h"
#include "yuccapick/ids.h"

namespace yuccapick::error_messages {

// Callers' requests.

inline constexpr std::string_view kBodyNotJson =
    "the body is not a JSON object; send one as application/json";
inline constexpr std::string_view kModelMissing =
    "'model' is missing; name one that GET /v1/models lists";
inline constexpr std::string_view kMessagesMissing =
    "'messages' is missing or empty; send a list of messages";
inline constexpr std::string_view kMessageNotObject =
    "an entry of 'messages' is not an object; send role and content";
inline constexpr std::string_view kRoleMissing =
    "an entry of 'messages' has no 'role'; use system, user or assistant";
inline constexpr std::string_view kContentNotText =
    "'content' must be a string or a list of text parts";
inline constexpr std::string_view kPromptMissing =
    "'prompt' is missing or empty; send a string";
inline constexpr std::string_view kStreamNotBoolean =
    "'stream' must be true or false";
inline constexpr std::string_view kTokenMissing =
    "no bearer token; send 'Authorization: Bearer TOKEN'";
inline constexpr std::string_view kTokenUnknown =
    "the bearer token belongs to no team; ask the operator for a valid one";
inline constexpr std::string_view kRouteUnknown =
    "no such path or method; see POST /v1/chat/completions, "
    "POST /v1/completions, GET /v1/models, /services/{service}/...";
inline constexpr std::string_view kNotReady =
    "this router has no configuration yet; send the request again";
inline constexpr std::string_view kRouterBusy =
    "this router's queue is full; retry after the given time";
inline constexpr std::string_view kOperationServiceMissing =
    "the operation's service is missing; name it in Yuccapick-Service";
inline constexpr std::string_view kRouterStopping =
    "this router is stopping; send the request again";

std::string FieldNotText(std::string_view field);
std::string KeyTooLong(std::size_t max_bytes);
std::string BadDeadline(std::int64_t max_ms);
std::string UnknownService(std::string_view name);
std::string TeamNotAdmitted(const TeamId& team, const ServiceId& service);
std::string BodyTooLarge(std::size_t bytes, std::size_t max_bytes);
std::string ModelNotOffered(const ModelId& model, const ServiceConfig& service);
std::string AdapterNotOffered(const AdapterId& adapter,
                              const ServiceConfig& service);

}  // namespace yuccapick::error_messages

#endif  // YUCCAPICK_ERROR_MESSAGES_H_
