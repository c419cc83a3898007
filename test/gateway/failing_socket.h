#ifndef YUCCAPICK_TEST_GATEWAY_FAILING_SOCKET_H_
#define YUCCAPICK_TEST_GATEWAY_FAILING_SOCKET_H_

/// @file
/// Makes writes fail that a gateway in this process makes.

#include <cstddef>
#include <string>

namespace yuccapick {

/// Lets the next write fail at once on each of this process's connections to
/// `endpoint`. Until then they look sound and idle.
/// @param endpoint `IP:PORT` on loopback
/// @return number of connections
std::size_t FailWritesTo(const std::string& endpoint);

/// Lets the next write fail on each of this process's connections to
/// `endpoint`, and the next read find the end of the stream.
/// @param endpoint `IP:PORT` on loopback
/// @return number of connections
std::size_t ShutDown(const std::string& endpoint);

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_FAILING_SOCKET_H_
