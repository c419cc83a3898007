#include <fmt/format.h>

#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>

#include "easylogging++.h"
#include "standin/http_server.h"
#include "standin/options.h"
#include "standin/role.h"

INITIALIZE_EASYLOGGINGPP

namespace yuccapick::standin {
namespace {

/// Lets the response to `POST /faults` reach the caller before the fault.
constexpr std::chrono::milliseconds kFaultDelay{10};

std::unique_ptr<Role> MakeRole(Context& context) {
  const std::string& role = context.options.role;
  if (role == "engine") return MakeEngine(context);
  if (role == "plain") return MakePlainService(context);
  if (role == "kv") return MakeKvStore(context);
  return MakePlatform(context);
}

/// Serves one role and the `/faults` endpoint.
class Process {
 public:
  explicit Process(Options options)
      : context_(std::move(options)),
        role_(MakeRole(context_)),
        server_(
            context_.loop, context_.options.host, context_.options.port,
            [this](const Request& request, const ResponderPtr& responder) {
              Handle(request, responder);
            },
            [this](const std::string& reason) { Fail(reason); }) {}

  /// Serves until SIGTERM or SIGINT. Returns the exit code.
  int Run() {
    asio::signal_set signals(context_.loop, SIGTERM, SIGINT);
    signals.async_wait([this](const auto&, int) { context_.loop.stop(); });
    context_.loop.run();
    return exit_code_;
  }

 private:
  void Fail(const std::string& reason) {
    fmt::print(
        stderr,
        "yuccapick-standin: cannot listen on {}:{}: {}; choose a free port\n",
        context_.options.host, context_.options.port, reason);
    exit_code_ = 1;
    context_.loop.stop();
  }

  void Handle(const Request& request, const ResponderPtr& responder) {
    if (request.path != "/faults") return role_->Handle(request, responder);
    if (request.method == "POST") ChangeFaults(request.Json());
    responder->SendJson(200, context_.faults.ToJson());
  }

  void ChangeFaults(const nlohmann::json& change) {
    context_.faults.Apply(change);
    const std::chrono::milliseconds pause(change.value("pause_ms", 0));
    if (pause.count() > 0) {
      context_.After(kFaultDelay,
                     [pause] { std::this_thread::sleep_for(pause); });
    }
    if (change.value("crash", false)) {
      context_.After(kFaultDelay, [this] {
        role_->Crash();
        server_.CloseConnections();
      });
    }
  }

  int exit_code_ = 0;
  Context context_;
  std::unique_ptr<Role> role_;
  HttpServer server_;
};

}  // namespace
}  // namespace yuccapick::standin

int main(int argc, char** argv) {
  int exit_code = 0;
  const auto options = yuccapick::standin::ParseOptions(argc, argv, exit_code);
  if (!options) return exit_code;
  return std::make_unique<yuccapick::standin::Process>(*options)->Run();
}
