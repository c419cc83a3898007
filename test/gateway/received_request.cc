#include "test/gateway/received_request.h"

#include <fmt/format.h>

namespace yuccapick {

std::string LoopbackEndpoint(std::uint16_t port) {
  return fmt::format("127.0.0.1:{}", port);
}

std::string ReceivedRequest::Field(const std::string& name) const {
  const std::string start = "\r\n" + name + ": ";
  const std::size_t at = head.find(start);
  if (at == std::string::npos) return {};
  const std::size_t from = at + start.size();
  return head.substr(from, head.find("\r\n", from) - from);
}

std::string ReceivedRequest::path() const {
  const std::size_t from = head.find(' ') + 1;
  return head.substr(from, head.find(' ', from) - from);
}

std::optional<ReceivedRequest> TakeRequest(std::string& input) {
  const std::size_t end = input.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  ReceivedRequest request;
  request.head = input.substr(0, end + 4);
  const std::string length = request.Field("Content-Length");
  const std::size_t n = length.empty() ? 0 : std::stoul(length);
  if (input.size() < end + 4 + n) return std::nullopt;
  request.body = input.substr(end + 4, n);
  input.erase(0, end + 4 + n);
  return request;
}

}  // namespace yuccapick
