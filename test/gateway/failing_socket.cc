#include "test/gateway/failing_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "gateway/http_connection.h"

namespace yuccapick {
namespace {

constexpr int kMaxDescriptor = 1'024;

/// @return the port of the socket's peer; 0 if it is no connected IPv4 socket
std::uint16_t PeerPort(int descriptor) {
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) !=
          0 ||
      peer.sin_family != AF_INET) {
    return 0;
  }
  return ntohs(peer.sin_port);
}

/// Shuts down one or both directions of all connections to `endpoint`.
std::size_t ShutDownAll(const std::string& endpoint, int how) {
  const std::uint16_t port = ParseEndpoint(endpoint).port();
  std::size_t n = 0;
  for (int descriptor = 0; descriptor < kMaxDescriptor; ++descriptor) {
    if (PeerPort(descriptor) != port) continue;
    if (::shutdown(descriptor, how) == 0) ++n;
  }
  return n;
}

}  // namespace

std::size_t FailWritesTo(const std::string& endpoint) {
  return ShutDownAll(endpoint, SHUT_WR);
}

std::size_t ShutDown(const std::string& endpoint) {
  return ShutDownAll(endpoint, SHUT_RDWR);
}

}  // namespace yuccapick
