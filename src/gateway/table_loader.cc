#include "gateway/table_loader.h"

#include <chrono>
#include <utility>

#include "gateway/boot_clock.h"
#include "gateway/store_rows.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{800};
constexpr milliseconds kRetryDelay{400};

}  // namespace

void TableLoader::Load() {
  if (loading_) {
    load_again_ = true;
    return;
  }
  loading_ = true;
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(
      store, platform::EncodeReadRows(store, table_, ""), kCallTimeout,
      [weak = weak_from_this()](const absl::StatusOr<StoreAnswer>& answer) {
        const auto self = weak.lock();
        if (self != nullptr) self->OnAnswer(answer);
      });
}

void TableLoader::LoadLater() {
  retry_timer_.expires_after(kRetryDelay);
  retry_timer_.async_wait(
      [weak = weak_from_this()](const asio::error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self != nullptr) self->Load();
      });
}

void TableLoader::OnAnswer(const absl::StatusOr<StoreAnswer>& answer) {
  loading_ = false;
  const auto rows = RowsOf(answer);
  if (!rows.ok()) {
    state_.log.Write(LogKind::kStateChange, state_.Now(),
                     "event=table_unread table={} reason=\"{}\"", table_,
                     rows.status().message().data());
    return LoadLater();
  }
  state_.store_times.OnAnswer(*rows, answer->generation, BootTimeNow());
  on_loaded_(*rows);
  if (std::exchange(load_again_, false)) Load();
}

}  // namespace yuccapick
