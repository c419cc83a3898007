#ifndef YUCCAPICK_TABLE_FRESHNESS_H_
#define YUCCAPICK_TABLE_FRESHNESS_H_

/// @file
/// Since when a gateway's copies of the store's tables are known to be current,
/// and when the gateway has to check them.

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/store_clock.h"
#include "yuccapick/store_generation.h"

namespace yuccapick {

/// The tables that must be current.
enum class WatchedTable : std::uint8_t { kOperator, kUpstreams };

inline constexpr std::array kWatchedTables{WatchedTable::kOperator,
                                           WatchedTable::kUpstreams};

/// A table whose copy is older than this may lack changes that must be in
/// force.
inline constexpr std::chrono::milliseconds kConfirmationMaxAge{1'500};

/// What a check of all watched tables found; sent to all gateways.
struct StoreConfirmation {
  StoreTime as_of;  ///< The store's time before which all changes are known.
  std::uint64_t operator_rows = 0;  ///< Version of the newest change.
  std::uint64_t upstream_rows = 0;
  StoreGeneration generation;  ///< Of both versions.

  bool operator==(const StoreConfirmation&) const = default;
};

/// What a call of a check found in its table.
struct CheckedTable {
  WatchedTable table = WatchedTable::kOperator;
  StoreTime as_of;           ///< The store's time of the answer.
  std::uint64_t newest = 0;  ///< Version of the newest change, or higher.
  bool newest_is_exact = true;
  bool changed = false;  ///< The call brought changes.
};

/// Check all watched tables now.
struct StartTableCheck {};

/// Why a long poll is opened again.
enum class RenewReason : std::uint8_t {
  kChecked,    ///< A check brought changes that the poll didn't bring.
  kConfirmed,  ///< A peer has changes that the poll didn't bring.
};

/// Returns the name of the reason for log lines.
std::string_view RenewReasonName(RenewReason reason);

/// Give up the open long poll of the table and open another one.
struct RenewPoll {
  WatchedTable table = WatchedTable::kOperator;
  RenewReason reason = RenewReason::kChecked;
};

using FreshnessAction = std::variant<StartTableCheck, RenewPoll>;

/// Decides when this gateway checks the tables and renews its polls. The
/// gateways take turns: the last confirmation is the key of their order.
class TableFreshness {
 public:
  /// @param self this gateway
  TableFreshness(const InstanceId& self, TimePoint now);

  // Commands.

  /// @param live peers that are live, without this gateway
  void SetPeers(const std::vector<InstanceId>& live);
  /// @param n gateways that may call the store, including those not live
  void SetGatewayCount(std::size_t n) { gateway_count_ = n; }
  void OnPollOpened(WatchedTable table, TimePoint now);
  /// The long poll ended, with an answer or without.
  void OnPollEnded(WatchedTable table);
  /// The copy of the table is complete up to a version.
  /// @param current_at when the store had no newer change
  void OnCurrent(WatchedTable table, std::uint64_t as_of, TimePoint current_at);
  /// The copy of the table is complete up to a version, and may lack newer
  /// ones, for example if it is a peer's.
  void OnRows(WatchedTable table, std::uint64_t as_of);
  /// The call of a check was answered, and its rows are in the copy.
  /// @return the confirmation for all peers once all tables are checked. One
  ///   that may take peers for behind though they aren't waits for a while for
  ///   a better one of a peer.
  std::optional<StoreConfirmation> OnCheckAnswered(const CheckedTable& found,
                                                   TimePoint now);
  /// Something depends on changes up to now: a check that begins from now on is
  /// due as soon as the store's capacity allows.
  void RequestCheck(TimePoint now) { check_requested_at_ = now; }
  /// The call of a check failed.
  void OnCheckFailed(TimePoint now);
  /// A peer checked the tables.
  /// @param confirmed_at local time of `confirmation.as_of`
  /// @return false if a newer confirmation is known
  bool OnConfirmation(const StoreConfirmation& confirmation,
                      TimePoint confirmed_at, TimePoint now);
  /// The machine was suspended, which the steady clock doesn't count: all
  /// confirmations are older by that time.
  void OnSuspended(std::chrono::milliseconds duration);
  /// @return what is due
  std::vector<FreshnessAction> OnTick(TimePoint now);

  // Queries.

  /// When `OnTick` has something to do next.
  TimePoint NextDue() const;
  /// @return when the copy is known to have been current; nullopt if never
  std::optional<TimePoint> ConfirmedAt(WatchedTable table) const;
  /// True if the copy was current within `kConfirmationMaxAge`.
  bool Confirmed(WatchedTable table, TimePoint now) const;
  /// True if a confirmation names a change that the copy lacks.
  bool Behind(WatchedTable table) const;
  /// Position of this gateway in the present order, from 0.
  std::size_t rank() const { return rank_; }

 private:
  struct TableState {
    std::uint64_t as_of = 0;
    std::uint64_t newest_confirmed = 0;
    std::optional<TimePoint> confirmed_at;
    bool poll_open = false;
    std::optional<TimePoint> renew_at;
    RenewReason reason = RenewReason::kChecked;
  };
  /// The calls of a check in progress.
  struct Check {
    explicit Check(TimePoint now) : began_at(now) {}

    TimePoint began_at;
    std::size_t open_calls = kWatchedTables.size();
    bool failed = false;
    bool exact = true;  ///< No peer is taken for behind that isn't.
    StoreConfirmation found;
  };

  TableState& StateOf(WatchedTable table);
  const TableState& StateOf(WatchedTable table) const;
  void UpdateRank();
  TimePoint NextCheck() const;
  /// A confirmation that the copy fulfils makes it current as of its time.
  void Reconsider(WatchedTable table);
  void ScheduleRenewal(WatchedTable table, RenewReason reason, TimePoint now);
  /// Called for each call of a check that ended.
  std::optional<StoreConfirmation> EndCall(TimePoint now);
  void Adopt(const StoreConfirmation& confirmation, TimePoint confirmed_at);

  std::uint64_t self_hash_;
  std::vector<std::uint64_t> peer_hashes_;
  std::vector<InstanceId> live_peers_;
  std::size_t gateway_count_ = 1;
  std::size_t rank_ = 0;
  std::array<TableState, kWatchedTables.size()> tables_;
  StoreConfirmation last_;  ///< Its time is the key of the order.
  TimePoint last_confirmed_at_;
  std::optional<Check> check_;
  std::optional<TimePoint> last_check_began_at_;
  std::optional<TimePoint> retry_at_;  ///< After a check that failed.
  std::optional<TimePoint> check_requested_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TABLE_FRESHNESS_H_
