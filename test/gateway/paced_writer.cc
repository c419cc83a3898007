#include "test/gateway/paced_writer.h"

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kInterval{20};

}  // namespace

void PacedWriter::Write(ScriptedServer::Connection& connection,
                        std::string text) {
  answers_.push_back({connection.shared_from_this(), std::move(text)});
  Schedule();
}

void PacedWriter::Schedule() {
  if (scheduled_) return;
  scheduled_ = true;
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const asio::error_code& ec) {
    if (ec) return;
    scheduled_ = false;
    if (!stalled_) WriteSome();
    if (!answers_.empty()) Schedule();
  });
}

void PacedWriter::WriteSome() {
  std::size_t left = bytes_per_second_ * kInterval.count() / 1'000;
  while (left > 0 && !answers_.empty()) {
    Answer answer = std::move(answers_.front());
    answers_.pop_front();
    if (answer.connection->closed_by_peer) continue;
    const std::size_t fair = left / (answers_.size() + 1) + 1;
    const std::size_t n = std::min(fair, answer.text.size() - answer.sent);
    answer.connection->Write(answer.text.substr(answer.sent, n));
    answer.sent += n;
    written_ += n;
    left -= std::min(n, left);
    if (answer.sent < answer.text.size()) answers_.push_back(std::move(answer));
  }
}

}  // namespace yuccapick
