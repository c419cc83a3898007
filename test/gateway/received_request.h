#ifndef YUCCAPICK_TEST_GATEWAY_RECEIVED_REQUEST_H_
#define YUCCAPICK_TEST_GATEWAY_RECEIVED_REQUEST_H_

/// @file
/// HTTP requests as scripted servers receive them.

#include <cstdint>
#include <optional>
#include <string>

namespace yuccapick {

/// A request as an upstream received it.
struct ReceivedRequest {
  std::string head;
  std::string body;

  /// @return the field's value, or empty if it is missing
  std::string Field(const std::string& name) const;
  std::string path() const;
};

/// Removes a complete request from the front of `input`.
/// @return nullopt if none is complete
std::optional<ReceivedRequest> TakeRequest(std::string& input);

/// @return `IP:PORT` of a port on loopback
std::string LoopbackEndpoint(std::uint16_t port);

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_RECEIVED_REQUEST_H_
