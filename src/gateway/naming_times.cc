#include "gateway/naming_times.h"

#include <fmt/format.h>

#include <string>

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
constexpr double kWriters = 4.0;

/// Splits `MODEL/WEIGHTS`.
bool ParseKey(const std::string& key, ModelId& model, WeightNumber& weights) {
  const std::size_t slash = key.rfind('/');
  if (slash == std::string::npos) return false;
  model = ModelId(key.substr(0, slash));
  return absl::SimpleAtoi(key.substr(slash + 1), &weights);
}

}  // namespace

void NamingTimes::Save(const ModelId& model, WeightNumber weights,
                       milliseconds store_time) {
  const std::string& store = state_.settings.table_endpoint;
  platform::RowWrite write;
  write.table = kTable;
  write.key = fmt::format("{}/{}", model.value, weights);
  write.value = fmt::to_string(store_time.count());
  write.expected = 0;
  // A few gateways write, so that the store is not asked by all; the condition
  // keeps the first time.
  const double share = kWriters / static_cast<double>(state_.gateway_count);
  if (!absl::Bernoulli(state_.random, std::min(1.0, share))) return;
  calls_.Call(store, platform::EncodeWrite(store, write), kTimeout,
              [self = shared_from_this(),
               key = write.key](const absl::StatusOr<CallAnswer>& answer) {
                self->state_.log.Write(
                    LogKind::kBelief, self->state_.Now(),
                    "event=naming_time_saved key={} status={}", key,
                    answer.ok() ? answer->status : 0);
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
  if (!answer.ok() || answer->status != kHttpOk) return;
  const auto rows = platform::DecodeRows(answer->body);
  if (!rows.ok()) return;
  const TimePoint now = state_.Now();
  for (const MirrorRow& row : rows->rows) {
    ModelId model;
    WeightNumber weights = 0;
    std::int64_t named_ms = 0;
    if (!ParseKey(row.key, model, weights)) continue;
    if (!absl::SimpleAtoi(row.value, &named_ms)) continue;
    const milliseconds age = rows->store_time - milliseconds(named_ms);
    if (age < milliseconds(0)) continue;
    state_.named_weights.OnNamedEarlier(model, weights, now - age);
  }
}

}  // namespace yuccapick
