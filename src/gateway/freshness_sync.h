#ifndef YUCCAPICK_GATEWAY_FRESHNESS_SYNC_H_
#define YUCCAPICK_GATEWAY_FRESHNESS_SYNC_H_

/// @file
/// Keeps the copies of the store's tables current together with other gateways.

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/gateway_state.h"
#include "gateway/owned_timer.h"
#include "gateway/peer_exchange.h"
#include "gateway/table_watch.h"
#include "yuccapick/table_freshness.h"

namespace yuccapick {

/// Makes the checks, tells peers of them, and renews polls that don't bring
/// changes which are known from elsewhere. Used on one event loop.
class FreshnessSync {
 public:
  /// What was done since the start.
  struct Counters {
    std::uint64_t checks = 0;
    std::uint64_t failed_checks = 0;
    std::uint64_t renewed_polls = 0;
  };

  /// @param on_confirmed called when a peer has confirmed that the copies of
  ///   all tables are current, since when no own call has failed
  FreshnessSync(GatewayState& state, PeerExchange& exchange,
                const PeerRegistry& peers, TableWatch& operator_watch,
                TableWatch& upstream_watch, std::function<void()> on_confirmed);

  void OnTick(TimePoint now);
  /// The machine was suspended, which the steady clock doesn't count.
  void OnSuspended(std::chrono::milliseconds duration) {
    freshness_.OnSuspended(duration);
  }
  void Stop() { timer_.Cancel(); }
  /// Checks the tables as soon as the store's capacity allows.
  void RequestCheck();
  void OnPollOpened(const std::string& table);
  void OnPollEnded(const std::string& table);
  void OnTableCurrent(const std::string& table, const TableAnswer& answer);
  void OnTableChecked(const std::string& table,
                      const std::optional<TableAnswer>& answer);
  /// A table was read in a new generation of the store: what was known of row
  /// versions is void.
  void Restart();
  /// Rows of a peer were taken over.
  void OnPeerRows();
  void OnConfirmation(const StoreConfirmation& confirmation);

  /// True if the copy of the table was current lately.
  bool Confirmed(WatchedTable table, TimePoint now) const {
    return freshness_.Confirmed(table, now);
  }
  /// @return when the copy is known to have been current; nullopt if never
  std::optional<TimePoint> ConfirmedAt(WatchedTable table) const {
    return freshness_.ConfirmedAt(table);
  }
  /// @return the age of the oldest confirmation of a table; zero before any
  std::chrono::milliseconds Age(TimePoint now) const;
  /// @return since when the copy is known to lack a change; nullopt if it is
  ///   not
  std::optional<TimePoint> BehindSince(WatchedTable table) const {
    return lags_[static_cast<std::size_t>(table)].since;
  }
  const Counters& counters() const { return counters_; }

 private:
  /// A copy that is known to lack a change.
  struct Lag {
    std::optional<TimePoint> since;
    bool logged = false;
  };

  TableWatch& WatchOf(WatchedTable table);
  /// True if the copies of both tables are of the same generation.
  bool InOneGeneration() const;
  void Act(TimePoint now);
  void Perform(const FreshnessAction& action, TimePoint now);
  void Renew(const RenewPoll& renewal, TimePoint now);
  void Schedule();
  void LogBelief(TimePoint now);
  /// Records since when a copy lacks a change.
  void TrackBehind(WatchedTable table, TimePoint now);
  void LogLag(std::string_view event, WatchedTable table, TimePoint now);

  GatewayState& state_;
  PeerExchange& exchange_;
  const PeerRegistry& peers_;
  TableWatch& operator_watch_;
  TableWatch& upstream_watch_;
  std::function<void()> on_confirmed_;
  TableFreshness freshness_;
  OwnedTimer timer_;
  std::array<bool, kWatchedTables.size()> believed_confirmed_{};
  std::array<Lag, kWatchedTables.size()> lags_;
  Counters counters_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_FRESHNESS_SYNC_H_
