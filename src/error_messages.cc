#include "yuccapick/error_messages.h"

#include <fmt/format.h>

#include <vector>

namespace yuccapick::error_messages {
namespace {

template <typename Id>
std::string Listed(const std::vector<Id>& ids) {
  std::string text;
  for (const Id& id : ids) {
    if (!text.empty()) text += ", ";
    text += id.value;
  }
  return text.empty() ? "none" : text;
}

}  // namespace

std::string FieldNotText(std::string_view field) {
  return fmt::format("'{}' must be a string", field);
}

std::string KeyTooLong(std::size_t max_bytes) {
  return fmt::format(
      "the Idempotency-Key is too long; use at most {} characters", max_bytes);
}

std::string BadDeadline(std::int64_t max_ms) {
  return fmt::format(
      "Yuccapick-Deadline-Ms must be a whole number from 1 to {}", max_ms);
}

std::string UnknownService(std::string_view name) {
  if (name.empty()) {
    return "no service offers this model to your team; name the service in "
           "Yuccapick-Service or ask the operator to admit the team";
  }
  return fmt::format(
      "unknown service '{}'; ask the operator for the configured services",
      name);
}

std::string TeamNotAdmitted(const TeamId& team, const ServiceId& service) {
  return fmt::format(
      "service '{}' does not admit team '{}'; ask its operator to add it",
      service.value, team.value);
}

std::string BodyTooLarge(std::size_t bytes, std::size_t max_bytes) {
  return fmt::format("the body has {} bytes; send at most {}", bytes,
                     max_bytes);
}

std::string ModelNotOffered(const ModelId& model,
                            const ServiceConfig& service) {
  return fmt::format("service '{}' does not offer model '{}'; use one of: {}",
                     service.id.value, model.value, Listed(service.models));
}

std::string AdapterNotOffered(const AdapterId& adapter,
                              const ServiceConfig& service) {
  return fmt::format("service '{}' does not offer adapter '{}'; use one of: {}",
                     service.id.value, adapter.value, Listed(service.adapters));
}

}  // namespace yuccapick::error_messages
