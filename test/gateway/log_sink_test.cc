#include "gateway/log_sink.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};

/// A pipe that is read only on demand.
class Pipe {
 public:
  Pipe() { REQUIRE(::pipe(ends_.data()) == 0); }
  ~Pipe() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int write_end() const { return ends_[1]; }

  std::string ReadAll() {
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buf{};
    ssize_t n = 0;
    while ((n = ::read(ends_[0], buf.data(), buf.size())) > 0) {
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

LogSinkOptions OptionsFor(const Pipe& pipe) {
  LogSinkOptions options;
  options.fd = pipe.write_end();
  return options;
}

TEST_CASE("Lines are written with a timestamp") {
  Pipe pipe;
  LogSink log(OptionsFor(pipe));
  log.Write(LogKind::kLifecycle, kStart, "event=started instance={}", "one");
  log.Flush(kStart);
  const std::string text = pipe.ReadAll();
  CHECK(text.find("time=") == 0);
  CHECK(text.find(" event=started instance=one\n") != std::string::npos);
}

TEST_CASE("A full pipe does not block writes, and excess lines are dropped") {
  Pipe pipe;
  LogSink log(OptionsFor(pipe));
  TimePoint now = kStart;
  for (int i = 0; i < 3'000; ++i) {
    now += milliseconds(10);
    log.Write(LogKind::kRequest, now, "event=request_sent filler={}",
              std::string(100, 'x'));
    log.Flush(now);
  }
  CHECK(log.dropped() > 0);
  const std::string text = pipe.ReadAll();
  CHECK(text.size() > 10'000);
  log.Flush(now);
  CHECK_FALSE(pipe.ReadAll().empty());
}

TEST_CASE("Many lines of one kind do not displace lines of another kind") {
  Pipe pipe;
  LogSinkOptions options = OptionsFor(pipe);
  options.max_buffered_bytes = 1'000'000;
  LogSink log(options);
  for (int i = 0; i < 2'000; ++i) {
    log.Write(LogKind::kRequest, kStart, "event=request_sent filler={}",
              std::string(100, 'x'));
  }
  log.Write(LogKind::kFailure, kStart, "event=request_done outcome=refused");
  log.Flush(kStart);
  const std::string text = pipe.ReadAll();
  CHECK(text.find("outcome=refused") != std::string::npos);
  CHECK(text.find("event=log_lines_dropped count=") != std::string::npos);
  CHECK(text.size() < 80'000);
}

}  // namespace
}  // namespace yuccapick
