#ifndef YUCCAPICK_SHELL_PLATFORM_CLIENT_H_
#define YUCCAPICK_SHELL_PLATFORM_CLIENT_H_

/// @file
/// HTTP bindings to the platform's table service, object store and instance
/// list. The protocol is that of standin/README.md.

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

/// Binding to the table service below `url`, such as
/// `http://10.0.0.1:7000/table`.
class HttpTableService {
 public:
  HttpTableService(std::shared_ptr<PlatformChannel> channel, std::string url)
      : channel_(std::move(channel)), url_(std::move(url)) {}

  /// Sends a transaction once. `kNotApplied` without conflicts means that it
  /// never reached the service or that the service turned it away unread;
  /// any doubt is `kUnknown`.
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

/// Binding to the object store below `url`.
class HttpObjectStore {
 public:
  HttpObjectStore(std::shared_ptr<PlatformChannel> channel, std::string url)
      : channel_(std::move(channel)), url_(std::move(url)) {}

  /// Stores immutable content; storing the same again succeeds.
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

/// An instance as the platform lists it.
struct InstanceEntry {
  InstanceId id;
  InstanceKind kind = InstanceKind::kRouter;
  std::string host;  ///< Of the link listener on it.
  std::uint16_t port = 0;
  FailureDomain domain;
  Region region;
  bool leaving = false;
  std::vector<ServiceId> services;  ///< For plain services.

  bool operator==(const InstanceEntry&) const = default;
};

/// Binding to the instance list at `url`.
class HttpInstanceList {
 public:
  HttpInstanceList(std::shared_ptr<PlatformChannel> channel, std::string url)
      : channel_(std::move(channel)), url_(std::move(url)) {}

  /// Fetches the list. Entries of an unknown kind are left out.
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
