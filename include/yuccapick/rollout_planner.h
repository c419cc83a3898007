#ifndef YUCCAPICK_ROLLOUT_PLANNER_H_
#define YUCCAPICK_ROLLOUT_PLANNER_H_

/// @file
/// Plans the rollout of target weights to the model engines, a few at a time.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/upstream_load.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// An order for one upstream to load weights.
struct RolloutOrder {
  UpstreamId upstream;
  ModelId model;
  WeightVersionNumber weights = 0;
  /// Count of orders that the engine must have accepted; it rejects this one
  /// otherwise.
  std::uint64_t expected_orders = 0;

  bool operator==(const RolloutOrder&) const = default;
};

/// Asks an upstream for a `RolloutReport`.
struct RolloutStatusQuery {
  UpstreamId upstream;

  bool operator==(const RolloutStatusQuery&) const = default;
};

using RolloutAction = std::variant<RolloutOrder, RolloutStatusQuery>;

/// Result of an order.
enum class RolloutOrderResult : std::uint8_t {
  kAccepted,
  kAlreadyLoaded,
  kConflict,  ///< Another order is in progress, or the count differs.
  kRefused,   ///< Not carried out, for another reason.
  kNone,      ///< No response: it may be carried out, even much later.
};

/// Status of an upstream's weights, as the upstream reports it.
struct RolloutReport {
  std::map<ModelId, WeightVersionNumber> weights;
  bool busy = false;
  std::uint64_t orders_accepted = 0;
};

struct RolloutOptions {
  /// Limit on concurrent loads: this share of the engines, but at least
  /// `min_loading_limit`. More loads would slow each other down.
  double loading_share = 1.0 / 6.0;
  std::size_t min_loading_limit = 3;
  /// While engines lack the weights of orders that got no response, this many
  /// more may load at once, to make up for the time that was lost.
  std::size_t catch_up_loads = 1;
  /// Time within which all engines must have new weights. As many engines are
  /// out of service at once as it takes to finish within `limit_fraction` of
  /// this time.
  std::chrono::milliseconds limit{12'000};
  double limit_fraction = 0.75;
  /// Upper bound on the share of engines out of service; the others carry the
  /// load.
  double max_out_of_service_share = 1.0 / 3.0;
  /// Engines that still have requests to finish may get orders early. All
  /// orders in progress together are limited to the limit on concurrent loads
  /// times this factor.
  double max_order_factor = 2.0;
  /// Assumed time that an engine is out of service, before the first load
  /// ended.
  std::chrono::milliseconds initial_cycle_time{2'000};
  /// While the engines have at most this many queued prefill tokens on average,
  /// one engine more than may load at once is out of service.
  std::uint64_t idle_prefill_tokens = 3'000;
  /// Delay before an order, during which peers learn that the upstream is about
  /// to load.
  std::chrono::milliseconds announce_delay{150};
  /// An upstream gets its order when its requests have ended, or after this
  /// time; then it finishes them itself before it loads.
  std::chrono::milliseconds drain_timeout{700};
  /// First status query after an accepted order, and the interval of further
  /// queries. Once the duration of loads is known, the first query is sent
  /// `query_lead_time` before the expected end.
  std::chrono::milliseconds first_query_delay{350};
  std::chrono::milliseconds query_lead_time{100};
  std::chrono::milliseconds query_interval{100};
  /// Delay before a rejected order is retried.
  std::chrono::milliseconds retry_delay{400};
  /// An order without a response makes room for those of other upstreams after
  /// this time, unless the upstream has begun to load.
  std::chrono::milliseconds unanswered_order_hold{200};
  /// An order that the upstream has not started after this time is sent again.
  std::chrono::milliseconds lost_order_timeout{900};
  /// An upstream that leaves this many consecutive queries unanswered is
  /// skipped for `skip_duration`.
  std::uint32_t max_unanswered_queries = 2;
  std::chrono::milliseconds skip_duration{1'500};
};

/// Decides which orders and status queries to send. Used only while the process
/// holds the rollout lease; a new holder starts with an empty planner and
/// queries the upstreams before it sends orders.
class RolloutPlanner {
 public:
  explicit RolloutPlanner(RolloutOptions options = {}) : options_(options) {}

  // Commands.

  /// @param targets newest target weights by model
  std::vector<RolloutAction> OnTick(
      const std::map<ModelId, WeightVersionNumber>& targets,
      const UpstreamRoster& roster, const UpstreamLoad& load, TimePoint now);
  /// Starts no rollout on these upstreams. Replaces the previous set.
  void SetExcludedUpstreams(std::set<UpstreamId> upstreams) {
    excluded_ = std::move(upstreams);
  }
  void OnRolloutOrderResult(const UpstreamId& upstream,
                            RolloutOrderResult answer, TimePoint now);
  /// @param report nothing if the upstream did not answer
  void OnReport(const UpstreamId& upstream,
                const std::optional<RolloutReport>& report, TimePoint now);
  /// Discards all tasks, since the rollout lease was lost.
  void Reset();

  // Queries.

  /// Upstreams that are loading or about to load. They should get no new
  /// requests.
  std::set<UpstreamId> Loading() const;
  bool idle() const { return tasks_.empty(); }

 private:
  enum class Stage : std::uint8_t {
    kDraining,  ///< Gets no new requests; its order count is queried.
    kOrdered,   ///< The order was sent; no result yet.
    kLoading,   ///< The order was accepted, or may have been.
    kPaused,    ///< Waits before the next attempt.
  };
  struct Task {
    Stage stage = Stage::kDraining;
    ModelId model;
    WeightVersionNumber weights = 0;
    Incarnation incarnation;
    std::optional<std::uint64_t> orders_accepted;
    std::uint64_t start_number = 0;  ///< Increases with each task.
    TimePoint started_at;
    TimePoint stage_since;  ///< Start of the stage.
    TimePoint next_query_at;
    bool unanswered_order = false;         ///< It may still be carried out.
    bool awaiting_answer = false;          ///< To an order or a query.
    std::uint32_t unanswered_queries = 0;  ///< Consecutive.
  };
  using Tasks = std::map<UpstreamId, Task>;

  struct Outdated {
    const UpstreamEntry* upstream;
    ModelId model;
    WeightVersionNumber weights;
    WeightVersionNumber held;  ///< Current weights of the upstream.
    WorkAmount work;
    /// When its last order was sent, if that got no response.
    std::optional<TimePoint> ordered_at;
  };

  static std::optional<Outdated> FindOutdatedModel(
      const UpstreamEntry& upstream,
      const std::map<ModelId, WeightVersionNumber>& targets);
  void RemoveFinishedTasks(
      const std::map<ModelId, WeightVersionNumber>& targets,
      const UpstreamRoster& roster);
  std::vector<Outdated> FindOutdated(
      const std::map<ModelId, WeightVersionNumber>& targets,
      const UpstreamRoster& roster, const UpstreamLoad& load,
      TimePoint now) const;
  /// Number of engines that may be out of service at once.
  std::size_t OutOfServiceLimit(std::size_t outdated, bool idle) const;
  void StartTasks(const std::vector<Outdated>& outdated, std::size_t limit,
                  TimePoint now);
  /// Updates the number of engines and the limit on concurrent loads.
  /// @return true if the engines have few queued prefill tokens
  bool UpdateLoadLimit(const UpstreamRoster& roster, const UpstreamLoad& load,
                       TimePoint now);
  std::optional<RolloutAction> Advance(const UpstreamId& upstream, Task& task,
                                       const UpstreamLoad& load, TimePoint now);
  std::optional<RolloutAction> AdvanceDraining(const UpstreamId& upstream,
                                               Task& task,
                                               const UpstreamLoad& load,
                                               TimePoint now);
  std::vector<Tasks::iterator> TasksInStartOrder();
  /// True if one more order may be sent.
  bool CanSendOrder(const UpstreamLoad& load, TimePoint now) const;
  void RecordCompletion(const Task& task, TimePoint now);
  RolloutAction QueryStatus(const UpstreamId& upstream, Task& task,
                            TimePoint now);
  static void EnterStage(Task& task, Stage stage, TimePoint now);

  RolloutOptions options_;
  Tasks tasks_;
  std::uint64_t tasks_started_ = 0;
  std::set<UpstreamId> excluded_;
  std::map<UpstreamId, TimePoint> skipped_until_;
  /// When orders without a response were sent that may still be carried out.
  std::map<UpstreamId, TimePoint> unanswered_orders_;
  std::size_t engines_ = 0;      ///< Except leaving ones.
  std::size_t max_loading_ = 1;  ///< Limit on concurrent loads.
  /// Shortest time from an accepted order to loaded weights; 0 if unknown.
  std::chrono::milliseconds min_load_time_{0};
  /// Moving average of the time that an engine is out of service; 0 if unknown.
  std::chrono::milliseconds mean_cycle_time_{0};
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ROLLOUT_PLANNER_H_
