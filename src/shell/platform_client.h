#ifndef YUCCAPICK_SHELL_PLATFORM_CLIENT_H_
#define YUCCAPICK_SHELL_PLATFORM_CLIENT_H_

/// @file
/// HTTP clients of the platform's table service, object store and instance
/// list. standin/README.md describes the protocol.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "shell/platform_channel.h"
#include "yuccapick/ids.h"
#include "yuccapick/table.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// Client of the table service at the base URL `url`, such as
/// `http://10.0.0.1:7000/table`.
class HttpTableService {
 public:
  HttpTableService(std::shared_ptr<PlatformChannel> channel, std::string url)
      : channel_(std::move(channel)), url_(std::move(url)) {}

  /// Sends a transaction once. `kNotApplied` without conflicts means that it
  /// never reached the service or that the service rejected it without
  /// processing it. If this is uncertain, the result is `kUnknown`.
  void Commit(const TableTransaction& transaction,
              std::function<void(CommitResult)> done);
  void Read(const std::vector<std::string>& keys,
            std::function<void(ReadResult)> done);
  void Scan(const std::string& prefix, const std::string& after,
            std::size_t limit, std::function<void(ReadResult)> done);

 private:
  void Query(const std::string& call, std::string body,
             std::function<void(ReadResult)> done);

  std::shared_ptr<PlatformChannel> channel_;
  std::string url_;
};

/// Client of the object store at the base URL `url`.
class HttpObjectStore {
 public:
  HttpObjectStore(std::shared_ptr<PlatformChannel> channel, std::string url)
      : channel_(std::move(channel)), url_(std::move(url)) {}

  /// Stores immutable content; storing the same content again succeeds.
  void Put(const std::string& name, std::string content,
           std::function<void(absl::Status)> done);
  void Get(const std::string& name,
           std::function<void(absl::StatusOr<std::string>)> done);

 private:
  std::shared_ptr<PlatformChannel> channel_;
  std::string url_;
};

/// What an instance runs.
enum class InstanceKind : std::uint8_t {
  kRouter,
  kModelEngine,
  kPlainService,
  kKvStore
};

/// An instance as listed by the platform.
struct InstanceEntry {
  InstanceId id;
  InstanceKind kind = InstanceKind::kRouter;
  std::string host;  ///< Host of the instance's link listener.
  std::uint16_t port = 0;
  FailureDomain domain;
  Region region;
  bool leaving = false;
  std::vector<ServiceId> services;  ///< Set for plain services only.

  bool operator==(const InstanceEntry&) const = default;
};

/// Client of the instance list at `url`.
class HttpInstanceList {
 public:
  HttpInstanceList(std::shared_ptr<PlatformChannel> channel, std::string url)
      : channel_(std::move(channel)), url_(std::move(url)) {}

  /// Fetches the list. Entries of an unknown kind or with an invalid port are
  /// skipped.
  void List(
      std::function<void(absl::StatusOr<std::vector<InstanceEntry>>)> done);

 private:
  std::shared_ptr<PlatformChannel> channel_;
  std::string url_;
};

static_assert(TableService<HttpTableService>);
static_assert(ObjectStore<HttpObjectStore>);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_PLATFORM_CLIENT_H_
