#ifndef YUCCAPICK_SHELL_SETTINGS_H_
#define YUCCAPICK_SHELL_SETTINGS_H_

/// @file
/// Settings of one process: identity, listen addresses, platform, TLS.

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "yuccapick/ids.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// A TCP address: numeric IP address and port.
struct Endpoint {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

struct TlsSettings {
  std::string certificate_file;  ///< PEM; empty disables TLS.
  std::string key_file;
  /// PEM of the authority that must have signed the peers' certificates.
  std::string authority_file;

  bool enabled() const { return !certificate_file.empty(); }
};

/// `[platform]`: base URLs of the platform's services.
struct PlatformSettings {
  std::string table_url;
  std::string objects_url;
  std::string instances_url;
};

/// `[router]`.
struct RouterSettings {
  Endpoint listen;
  std::size_t max_connections = 4096;
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds read_timeout{10'000};
};

/// `[agent]`.
struct AgentSettings {
  UpstreamId upstream;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  std::string upstream_url;
  std::vector<ServiceId> services;  ///< For plain services.
  bool upstream_checks_fence = false;
  std::size_t max_running = 1'024;  ///< Concurrent attempts at the upstream.
};

/// Settings of one process.
struct ProcessSettings {
  InstanceId instance;
  FailureDomain domain;
  Region region;
  Endpoint link;       ///< Listen address for other processes of the system.
  Endpoint metrics;    ///< Port 0 disables the metrics server.
  std::string secret;  ///< Shared by all processes of the system.
  std::string log_level = "info";
  std::chrono::milliseconds drain_deadline{30'000};
  TlsSettings link_tls;
  TlsSettings caller_tls;
  PlatformSettings platform;
  RouterSettings router;
  AgentSettings agent;
};

/// Loads a TOML settings file. Unknown keys are errors; all errors are
/// reported at once, with file, line, key and a suggested fix.
absl::StatusOr<ProcessSettings> LoadSettings(const std::string& file);

/// Parses settings text.
/// @param file file name for error messages
absl::StatusOr<ProcessSettings> ParseSettings(const std::string& text,
                                              const std::string& file);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_SETTINGS_H_
