#include <map>
#include <string>

#include "standin/role.h"

namespace yuccapick::standin {
namespace {

/// A service whose calls have side effects. The executed calls survive a crash,
/// since they represent effects outside the service.
class PlainService : public Role {
 public:
  explicit PlainService(Context& context) : context_(context) {}

  void Handle(const Request& request, ResponderPtr responder) override {
    if (request.path == "/standin/calls") {
      return responder->SendJson(200, {{"calls", calls_}});
    }
    if (request.path == "/engine/load") {
      return responder->SendJson(200, {{"boot_id", boot_id_},
                                       {"running", running_},
                                       {"queued", 0},
                                       {"loaded", nlohmann::json::array()}});
    }
    Execute(request, responder);
  }

  void Crash() override {
    ++incarnation_;
    running_ = 0;
    boot_id_ = NewBootId();
  }

 private:
  void Execute(const Request& request, const ResponderPtr& responder) {
    ++running_;
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
        context_.options.work_time * context_.faults.slow_factor);
    context_.After(time,
                   [this, request, responder, incarnation = incarnation_] {
                     if (incarnation == incarnation_) {
                       Finish(request, responder);
                     }
                   });
  }

  void Finish(const Request& request, const ResponderPtr& responder) {
    --running_;
    const std::string key = request.HeaderValue("idempotency-key");
    const std::uint64_t calls = ++calls_[key];
    if (context_.ShouldInject(context_.faults.lose_answer)) {
      return responder->Abort();
    }
    responder->SendJson(200,
                        {{"key", key},
                         {"calls", calls},
                         {"method", request.method},
                         {"path", request.path},
                         {"request", request.HeaderValue("x-request-id")}});
  }

  Context& context_;
  std::map<std::string, std::uint64_t> calls_;
  std::string boot_id_ = NewBootId();
  std::uint64_t incarnation_ = 0;
  std::uint64_t running_ = 0;
};

}  // namespace

std::unique_ptr<Role> MakePlainService(Context& context) {
  return std::make_unique<PlainService>(context);
}

}  // namespace yuccapick::standin
