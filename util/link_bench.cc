/// @file
/// Measures one link over loopback TCP: the latency of a small message from
/// `Send` in the agent to the handler in the router, and messages per second.
/// Prints CSV `figure,value,unit`.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "easylogging++.h"
#include "shell/link_client.h"
#include "shell/link_server.h"
#include "shell/loop_thread.h"

namespace yuccapick {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kStreams = 500;
/// Paced messages: each tick sends one on each of the next
/// `kStreamsPerTick` streams.
constexpr int kTicks = 2'000;
constexpr int kStreamsPerTick = 25;
constexpr std::chrono::milliseconds kTickInterval{1};
constexpr int kBurstMessages = 200'000;
constexpr std::size_t kChunkBytes = 200;
constexpr std::chrono::seconds kRunTimeout{60};

/// Server side, on its own thread: sends chunks on every stream.
class Sender {
 public:
  Sender() : timer_(thread_.loop()) {
    LinkServerOptions options;
    options.secret = "bench";
    server_ = LinkServer::Make(thread_.loop(), options);
    server_->HandlePath("/attempt", [this](const LinkStreamPtr& stream) {
      streams_.push_back(stream);
      LinkStreamHandlers handlers;
      handlers.on_writable = [this] { SendBurst(); };
      stream->SetHandlers(std::move(handlers));
      if (streams_.size() < kStreams) return;
      timer_.expires_after(kTickInterval);
      SendPaced();
    });
  }
  ~Sender() { thread_.Stop(); }

  bool Start() {
    if (!server_->Start().ok()) return false;
    thread_.Start();
    return true;
  }
  std::uint16_t port() const { return server_->port(); }

 private:
  void SendOne(const LinkStreamPtr& stream) {
    const auto now = Clock::now().time_since_epoch().count();
    stream->Send(AnswerChunk{AttemptId("attempt"),
                             static_cast<std::uint64_t>(now),
                             std::string(kChunkBytes, 'x'), "token"});
  }

  void SendPaced() {
    if (ticks_ == kTicks) return SendBurst();
    for (int i = 0; i < kStreamsPerTick; ++i) {
      SendOne(streams_[(ticks_ * kStreamsPerTick + i) % kStreams]);
    }
    ++ticks_;
    timer_.expires_at(timer_.expiry() + kTickInterval);
    timer_.async_wait([this](asio::error_code ec) {
      if (!ec) SendPaced();
    });
  }

  /// Sends as many messages as flow control accepts.
  void SendBurst() {
    for (const LinkStreamPtr& stream : streams_) {
      while (sent_ < kBurstMessages && !stream->congested()) {
        SendOne(stream);
        ++sent_;
      }
    }
  }

  LoopThread thread_;
  std::shared_ptr<LinkServer> server_;
  std::vector<LinkStreamPtr> streams_;
  asio::steady_timer timer_;
  int ticks_ = 0;
  int sent_ = 0;
};

/// Client side, on the main thread: records the latencies.
class Receiver {
 public:
  explicit Receiver(std::uint16_t port) {
    LinkClientOptions options;
    options.peer.port = port;
    options.secret = "bench";
    LinkClientHandlers handlers;
    handlers.on_up = [this] { OpenStreams(); };
    client_ = LinkClient::Make(loop_, options, std::move(handlers));
  }

  bool Run() {
    client_->Start();
    loop_.run_for(kRunTimeout);
    client_->Stop();
    return received_ == kPaced + kBurstMessages;
  }

  void Print() {
    std::sort(paced_.begin(), paced_.end());
    const auto at = [this](double share) {
      const auto index = static_cast<std::size_t>(share * (paced_.size() - 1));
      return std::chrono::duration<double, std::micro>(paced_[index]).count();
    };
    const std::chrono::duration<double> burst = last_ - burst_begin_;
    std::printf("figure,value,unit\n");
    std::printf("link_message_p50,%.1f,us\n", at(0.50));
    std::printf("link_message_p95,%.1f,us\n", at(0.95));
    std::printf("link_message_p99,%.1f,us\n", at(0.99));
    std::printf("link_messages_per_second,%.0f,1/s\n",
                kBurstMessages / burst.count());
  }

 private:
  static constexpr int kPaced = kTicks * kStreamsPerTick;

  void OpenStreams() {
    for (int i = 0; i < kStreams; ++i) {
      LinkStreamHandlers handlers;
      handlers.on_frame = [this](LinkMessageType, std::string_view payload) {
        OnMessage(payload);
        return true;
      };
      streams_.push_back(client_->Open("/attempt", std::move(handlers)));
    }
  }

  void OnMessage(std::string_view payload) {
    const auto chunk = Decode<AnswerChunk>(payload);
    if (!chunk.ok()) return loop_.stop();
    last_ = Clock::now();
    if (++received_ <= kPaced) {
      const auto sent = Clock::time_point(Clock::duration(chunk->position));
      paced_.push_back(last_ - sent);
      burst_begin_ = last_;
    }
    if (received_ == kPaced + kBurstMessages) loop_.stop();
  }

  asio::io_context loop_;
  std::shared_ptr<LinkClient> client_;
  std::vector<LinkStreamPtr> streams_;
  std::vector<Clock::duration> paced_;
  Clock::time_point burst_begin_;
  Clock::time_point last_;
  int received_ = 0;
};

int Run() {
  Sender sender;
  if (!sender.Start()) return EXIT_FAILURE;
  Receiver receiver(sender.port());
  if (!receiver.Run()) {
    std::fprintf(stderr, "link_bench: messages were lost or delayed\n");
    return EXIT_FAILURE;
  }
  receiver.Print();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace yuccapick

INITIALIZE_EASYLOGGINGPP

int main() { return yuccapick::Run(); }
