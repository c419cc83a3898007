#ifndef YUCCAPICK_TEST_SHELL_TEST_ADDRESS_H_
#define YUCCAPICK_TEST_SHELL_TEST_ADDRESS_H_

/// @file
/// Loopback addresses for programs that must be given a listen address. A port
/// probed as free may be taken before it is used, so each test process has its
/// own address and counts its ports.

#include <fmt/format.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace yuccapick {

/// Below the kernel's default range of ephemeral ports (from 32768).
constexpr std::uint16_t kFirstTestPort = 20'000;

/// @return an address unique to this process: Linux process ids have at most
///   22 bits, and 127.64.0.0/10 leaves 22 bits free
inline std::string TestHost() {
  const auto pid = static_cast<std::uint32_t>(::getpid());
  return fmt::format("127.{}.{}.{}", 64 + ((pid >> 16U) & 0x3FU),
                     (pid >> 8U) & 0xFFU, pid & 0xFFU);
}

/// @return a port that this process has not used yet
inline std::uint16_t NextTestPort() {
  static std::uint16_t next = kFirstTestPort;
  return next++;
}

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_SHELL_TEST_ADDRESS_H_
