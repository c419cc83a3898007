#ifndef YUCCAPICK_SHELL_PLATFORM_QUERY_H_
#define YUCCAPICK_SHELL_PLATFORM_QUERY_H_

/// @file
/// Blocking queries to the platform, for read-only commands.

#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "shell/platform_client.h"
#include "shell/settings.h"

namespace yuccapick {

/// Each method runs the internal event loop until the response arrives.
class PlatformQuery {
 public:
  explicit PlatformQuery(const PlatformSettings& settings);

  absl::StatusOr<std::vector<TableRow>> Read(const std::string& key);
  /// Returns all rows whose key has the prefix, in key order.
  absl::StatusOr<std::vector<TableRow>> Scan(const std::string& prefix);
  absl::StatusOr<std::string> Object(const std::string& name);
  absl::StatusOr<std::vector<InstanceEntry>> Instances();

 private:
  /// Runs `call` with a callback, and the loop until the callback is run.
  template <typename T, typename Call>
  absl::StatusOr<T> Await(Call call);

  asio::io_context loop_{1};
  std::shared_ptr<PlatformChannel> channel_;
  HttpTableService table_;
  HttpObjectStore objects_;
  HttpInstanceList instances_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_PLATFORM_QUERY_H_
