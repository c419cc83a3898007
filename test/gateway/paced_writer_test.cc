#include "test/gateway/paced_writer.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kBytesPerSecond = 400'000;
/// How late the writer's timer is, as on a busy machine.
constexpr milliseconds kDelay{60};
constexpr int kRounds = 8;

/// Guards against a link that gets slower than it is said to be when the
/// machine is busy, so that what is sent over it is late.
TEST_CASE("A paced link keeps its rate though its timer is late") {
  asio::io_context loop;
  PacedWriter writer(loop, kBytesPerSecond);
  ScriptedServer server(loop, [&writer](ScriptedServer::Connection& c) {
    writer.Write(c, std::string(kBytesPerSecond, 'x'));
  });
  asio::ip::tcp::socket reader(loop);
  reader.connect({asio::ip::address_v4::loopback(), server.port()});
  asio::write(reader, asio::buffer(std::string("go")));
  REQUIRE(RunUntil(loop, [&writer] { return writer.written() > 0; }));
  const auto began_at = steady_clock::now();
  const std::size_t before = writer.written();
  for (int i = 0; i < kRounds; ++i) {
    const auto until = steady_clock::now() + kDelay;
    while (steady_clock::now() < until) continue;
    loop.restart();
    loop.poll();
  }
  const std::chrono::duration<double> elapsed = steady_clock::now() - began_at;
  const double due = kBytesPerSecond * elapsed.count();
  CHECK(static_cast<double>(writer.written() - before) > due * 0.8);
  CHECK(static_cast<double>(writer.written() - before) < due * 1.2);
}

}  // namespace
}  // namespace yuccapick
