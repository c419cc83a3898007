#ifndef YUCCAPICK_GATEWAY_TABLE_LOADER_H_
#define YUCCAPICK_GATEWAY_TABLE_LOADER_H_

/// @file
/// Reads one of the gateways' own tables from the store.

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/gateway_state.h"
#include "gateway/store_client.h"
#include "platform/table_calls.h"

namespace yuccapick {

/// Reads all rows of a table, page by page, again until the store answers. Used
/// on one event loop; calls nothing after its destruction.
class TableLoader : public std::enable_shared_from_this<TableLoader> {
 public:
  using OnLoaded = std::function<void(const platform::RowsAnswer&)>;

  TableLoader(GatewayState& state, std::shared_ptr<StoreClient> store,
              std::string table, OnLoaded on_loaded)
      : state_(state),
        store_(std::move(store)),
        table_(std::move(table)),
        on_loaded_(std::move(on_loaded)),
        retry_timer_(state.loop) {}

  /// Reads the table now, or once more if a read is under way.
  void Load();
  /// Reads the table after a short delay.
  void LoadLater();

 private:
  /// @param from_key first key of the page; empty for the first page
  void ReadPage(const std::string& from_key);
  void OnAnswer(const absl::StatusOr<StoreAnswer>& answer);

  GatewayState& state_;
  std::shared_ptr<StoreClient> store_;
  std::string table_;
  OnLoaded on_loaded_;
  asio::steady_timer retry_timer_;
  bool loading_ = false;
  bool load_again_ = false;
  /// Pages that were read, with the version and the time of the first.
  std::optional<platform::RowsAnswer> pages_;
  StoreGeneration generation_;  ///< Of `pages_`.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_TABLE_LOADER_H_
