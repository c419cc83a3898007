#include "test/gateway/paced_writer.h"

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kInterval{20};
/// What a link and its buffers hold while nobody is there to read.
constexpr double kMaxBurstBytes = 65'536;

}  // namespace

void PacedWriter::Write(ScriptedServer::Connection& connection,
                        std::string text) {
  answers_.push_back({connection.shared_from_this(), std::move(text)});
  Schedule();
}

void PacedWriter::Schedule() {
  if (scheduled_) return;
  scheduled_ = true;
  if (credit_at_ == TimePoint()) credit_at_ = std::chrono::steady_clock::now();
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const asio::error_code& ec) {
    if (ec) return;
    scheduled_ = false;
    AddCredit();
    if (!stalled_) WriteSome();
    if (!answers_.empty()) return Schedule();
    credit_at_ = TimePoint();
    credit_bytes_ = 0;
  });
}

void PacedWriter::AddCredit() {
  const TimePoint now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> elapsed = now - credit_at_;
  credit_at_ = now;
  const double earned =
      static_cast<double>(bytes_per_second_) * elapsed.count();
  credit_bytes_ = std::min(credit_bytes_ + earned, kMaxBurstBytes);
}

void PacedWriter::WriteSome() {
  auto left = static_cast<std::size_t>(credit_bytes_);
  while (left > 0 && !answers_.empty()) {
    Answer answer = std::move(answers_.front());
    answers_.pop_front();
    if (answer.connection->closed_by_peer) continue;
    const std::size_t fair = left / (answers_.size() + 1) + 1;
    const std::size_t n = std::min(fair, answer.text.size() - answer.sent);
    answer.connection->Write(answer.text.substr(answer.sent, n));
    answer.sent += n;
    written_ += n;
    credit_bytes_ -= static_cast<double>(n);
    left -= std::min(n, left);
    if (answer.sent < answer.text.size()) answers_.push_back(std::move(answer));
  }
}

}  // namespace yuccapick
