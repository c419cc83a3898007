#include "gateway/naming_times.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "absl/random/random.h"
#include "absl/strings/numbers.h"
#include "gateway/http_status.h"
#include "platform/table_calls.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kTable[] = "yuccapick-weights";
constexpr milliseconds kTimeout{800};
/// Gateways that write a time, on average.
constexpr double kWriters = 12.0;
constexpr milliseconds kRetryPause{400};
constexpr int kMaxWrites = 8;

/// Splits `MODEL/WEIGHTS`.
bool ParseKey(const std::string& key, ModelId& model,
              WeightVersionNumber& weights) {
  const std::size_t slash = key.rfind('/');
  if (slash == std::string::npos) return false;
  model = ModelId(key.substr(0, slash));
  return absl::SimpleAtoi(key.substr(slash + 1), &weights);
}

}  // namespace

double NamingWriterShare(std::size_t gateways) {
  return std::min(1.0, kWriters / static_cast<double>(gateways));
}

void NamingTimes::Save(const ModelId& model, WeightVersionNumber weights,
                       milliseconds store_time) {
  const double share = NamingWriterShare(state_.live_peers.size() + 1);
  if (!absl::Bernoulli(state_.random, share)) return;
  Write({fmt::format("{}/{}", model.value, weights), store_time, 0});
}

void NamingTimes::Write(Naming naming) {
  const std::string& store = state_.settings.table_endpoint;
  platform::RowWrite write;
  write.table = kTable;
  write.key = naming.key;
  write.value = fmt::to_string(naming.store_time.count());
  // The first time stays.
  write.expected = 0;
  ++naming.tries;
  calls_.Call(store, platform::EncodeWrite(store, write), kTimeout,
              [self = shared_from_this(),
               naming](const absl::StatusOr<CallAnswer>& answer) {
                self->OnWritten(naming, answer);
              });
}

void NamingTimes::OnWritten(Naming naming,
                            const absl::StatusOr<CallAnswer>& answer) {
  const int status = answer.ok() ? answer->status : 0;
  state_.log.Write(LogKind::kBelief, state_.Now(),
                   "event=naming_time_saved key={} status={} tries={}",
                   naming.key, status, naming.tries);
  const bool stored = status == kHttpOk || status == kHttpPreconditionFailed;
  if (stored || naming.tries >= kMaxWrites) return;
  auto timer = std::make_shared<asio::steady_timer>(state_.loop, kRetryPause);
  timer->async_wait([self = shared_from_this(), timer,
                     naming = std::move(naming)](const asio::error_code& ec) {
    if (!ec) self->Write(naming);
  });
}

void NamingTimes::Load() {
  if (loading_) return;
  loading_ = true;
  const std::string& store = state_.settings.table_endpoint;
  calls_.Call(
      store, platform::EncodeReadRows(store, kTable, ""), kTimeout,
      [self = shared_from_this()](const absl::StatusOr<CallAnswer>& answer) {
        self->OnLoaded(answer);
      });
}

void NamingTimes::OnLoaded(const absl::StatusOr<CallAnswer>& answer) {
  loading_ = false;
  const bool answered = answer.ok() && answer->status == kHttpOk;
  const auto rows = answered ? platform::DecodeRows(answer->body)
                             : absl::UnavailableError("no answer");
  if (!rows.ok()) {
    state_.log.Write(LogKind::kBelief, state_.Now(),
                     "event=naming_times_unknown reason=\"{}\"",
                     rows.status().message().data());
    retry_timer_.expires_after(kRetryPause);
    retry_timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& ec) {
          if (!ec) self->Load();
        });
    return;
  }
  const TimePoint now = state_.Now();
  for (const MirrorRow& row : rows->rows) {
    ModelId model;
    WeightVersionNumber weights = 0;
    std::int64_t named_ms = 0;
    if (!ParseKey(row.key, model, weights)) continue;
    if (!absl::SimpleAtoi(row.value, &named_ms)) continue;
    const milliseconds age = rows->store_time - milliseconds(named_ms);
    if (age < milliseconds(0)) continue;
    state_.named_weights.OnTargetSetEarlier(model, weights, now - age);
  }
}

}  // namespace yuccapick
