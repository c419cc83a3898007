#ifndef YUCCAPICK_STANDIN_ROLE_H_
#define YUCCAPICK_STANDIN_ROLE_H_

/// @file
/// What the roles have in common.

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

/// What a role runs on.
struct Context {
  explicit Context(Options parsed)
      : options(std::move(parsed)), random(options.seed) {}

  /// Runs `work` later.
  void After(std::chrono::microseconds delay, std::function<void()> work) {
    auto timer = std::make_shared<asio::steady_timer>(loop, delay);
    timer->async_wait([timer, work = std::move(work)](const auto& ec) {
      if (!ec) work();
    });
  }

  /// Returns whether a fault strikes that hits `share` of all cases.
  bool Strikes(double share) {
    if (share <= 0) return false;
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
  }

  asio::io_context loop{1};
  Options options;
  Faults faults;
  std::mt19937_64 random;
};

/// One role of the stand-in.
class Role {
 public:
  virtual ~Role() = default;
  virtual void Handle(const Request& request, ResponderPtr responder) = 0;
  /// Forgets everything that a restart would lose.
  virtual void Crash() {}
};

std::unique_ptr<Role> MakeEngine(Context& context);
std::unique_ptr<Role> MakePlainService(Context& context);
std::unique_ptr<Role> MakeKvStore(Context& context);
std::unique_ptr<Role> MakePlatform(Context& context);

/// Returns a boot id that no earlier life had.
inline std::string NewBootId() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return "boot-" + std::to_string(now.count());
}

inline void SendNotFound(const Request& request,
                         const ResponderPtr& responder) {
  responder->SendJson(
      404, {{"error", "no such call: " + request.method + " " + request.path}});
}

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_ROLE_H_
