#include "gateway/table_loader.h"

#include <algorithm>
#include <chrono>
#include <iterator>
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
  pages_.reset();
  ReadPage("");
}

void TableLoader::ReadPage(const std::string& from_key) {
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(
      store, platform::EncodeReadRows(store, table_, from_key), kCallTimeout,
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
  auto rows = RowsOf(answer);
  if (!rows.ok()) {
    loading_ = false;
    state_.log.Write(LogKind::kStateChange, state_.Now(),
                     "event=table_unread table={} reason=\"{}\"", table_,
                     rows.status().message().data());
    return LoadLater();
  }
  state_.store_times.OnAnswer(*rows, answer->generation, BootTimeNow());
  const bool more = rows->has_more && !rows->rows.empty();
  const std::string last_key = more ? rows->rows.back().key : std::string();
  if (!pages_) {
    generation_ = answer->generation;
    pages_ = *std::move(rows);
  } else if (generation_ == answer->generation) {
    std::move(rows->rows.begin(), rows->rows.end(),
              std::back_inserter(pages_->rows));
  } else {
    loading_ = false;
    return Load();
  }
  if (more) return ReadPage(last_key + '\0');
  loading_ = false;
  on_loaded_(*std::exchange(pages_, std::nullopt));
  if (std::exchange(load_again_, false)) Load();
}

}  // namespace yuccapick
