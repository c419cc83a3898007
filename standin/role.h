#ifndef YUCCAPICK_STANDIN_ROLE_H_
#define YUCCAPICK_STANDIN_ROLE_H_

/// @file
/// Common interface and context of the stand-in roles.

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "standin/faults.h"
#include "standin/http_server.h"
#include "standin/options.h"

namespace yuccapick::standin {

/// Event loop, options and fault state of a role.
struct Context {
  explicit Context(Options parsed)
      : options(std::move(parsed)), random(options.seed) {}

  /// Runs `work` after `delay`.
  void After(std::chrono::microseconds delay, std::function<void()> work) {
    auto timer = std::make_shared<asio::steady_timer>(loop, delay);
    timer->async_wait([timer, work = std::move(work)](const auto& ec) {
      if (!ec) work();
    });
  }

  /// Decides at random whether to inject a fault of this probability.
  bool ShouldInject(double probability) {
    if (probability <= 0) return false;
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
  }

  asio::io_context loop{1};
  Options options;
  Faults faults;
  std::mt19937_64 random;
};

/// Request handler of one stand-in role.
class Role {
 public:
  virtual ~Role() = default;
  virtual void Handle(const Request& request, ResponderPtr responder) = 0;
  /// Drops all state that a restart would lose.
  virtual void Crash() {}
};

std::unique_ptr<Role> MakeEngine(Context& context);
std::unique_ptr<Role> MakePlainService(Context& context);
std::unique_ptr<Role> MakeKvStore(Context& context);
std::unique_ptr<Role> MakePlatform(Context& context);

/// Returns a boot id that differs from those of earlier incarnations.
inline std::string NewBootId() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return "boot-" + std::to_string(now.count());
}

inline void SendNotFound(const Request& request,
                         const ResponderPtr& responder) {
  responder->SendJson(404, {{"error", "unknown endpoint: " + request.method +
                                          " " + request.path}});
}

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_ROLE_H_
