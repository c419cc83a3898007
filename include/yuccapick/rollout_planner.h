#ifndef YUCCAPICK_ROLLOUT_PLANNER_H_
#define YUCCAPICK_ROLLOUT_PLANNER_H_

/// @file
/// Brings model engines to the weights that the operator named, a few at once.

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
  std::uint64_t expected_orders = 0;  ///< Carried out only at this count.

  bool operator==(const RolloutOrder&) const = default;
};

/// Asks an upstream how far it is.
struct RolloutStatusQuery {
  UpstreamId upstream;

  bool operator==(const RolloutStatusQuery&) const = default;
};

using RolloutAction = std::variant<RolloutOrder, RolloutStatusQuery>;

/// What an upstream said to an order.
enum class RolloutOrderResult : std::uint8_t {
  kAccepted,
  kAlreadyLoaded,
  kConflict,  ///< Another order is under way, or the count differs.
  kRefused,   ///< Not carried out for another reason.
  kNone,      ///< No answer: it may be carried out, also much later.
};

/// What an upstream reports about itself.
struct RolloutReport {
  std::map<ModelId, WeightVersionNumber> weights;
  bool busy = false;
  std::uint64_t orders_accepted = 0;
};

struct RolloutOptions {
  /// Loads at once: this share of the engines, at least `min_at_once`. More
  /// would slow each other down.
  double share_at_once = 1.0 / 6.0;
  std::size_t min_at_once = 3;
  /// When all engines must have new weights. As many are taken out of service
  /// as it takes to be done within `limit_use` of it.
  std::chrono::milliseconds limit{12'000};
  double limit_use = 0.75;
  /// But not more than this share of the engines: the others carry the load.
  double max_out_of_service = 1.0 / 3.0;
  /// Engines whose requests have not ended may get orders beyond those that
  /// load at once, up to this many times as many in all.
  double max_ordered = 2.0;
  /// Time that one engine takes, before any was measured.
  std::chrono::milliseconds first_cycle{2'000};
  /// While engines have no more than this to read on average, one more than
  /// may load is out of service.
  std::uint64_t idle_prefill_tokens = 3'000;
  /// Peers learn that an upstream is about to load before it gets the order.
  std::chrono::milliseconds announce{150};
  /// An upstream gets its order once its requests have ended, or after this;
  /// then it ends them itself before it loads.
  std::chrono::milliseconds drain{700};
  /// When to ask an upstream that accepted an order, and how often then. Once
  /// it is known how long loads take, it is asked from shortly before the end.
  std::chrono::milliseconds first_question{350};
  std::chrono::milliseconds question_ahead{100};
  std::chrono::milliseconds question_every{100};
  /// Refused orders are tried again after this time.
  std::chrono::milliseconds retry_pause{400};
  /// An order without any sign of being carried out is given again.
  std::chrono::milliseconds lost_after{900};
  /// An upstream that leaves this many questions in a row unanswered makes
  /// room for others for `aside`.
  std::uint32_t max_unanswered = 2;
  std::chrono::milliseconds aside{1'500};
};

/// Decides orders and questions. It is consulted only while the process holds
/// the duty; a new holder starts with an empty planner and asks first.
class RolloutPlanner {
 public:
  explicit RolloutPlanner(RolloutOptions options = {}) : options_(options) {}

  // Commands.

  /// @param named newest weights by model
  std::vector<RolloutAction> OnTick(
      const std::map<ModelId, WeightVersionNumber>& named,
      const UpstreamRoster& roster, const UpstreamLoad& load, TimePoint now);
  /// Begins nothing with these upstreams until they are left out again.
  void SetExcludedUpstreams(std::set<UpstreamId> upstreams) {
    held_back_ = std::move(upstreams);
  }
  void OnRolloutOrderResult(const UpstreamId& upstream,
                            RolloutOrderResult answer, TimePoint now);
  /// @param report nothing if the upstream did not answer
  void OnReport(const UpstreamId& upstream,
                const std::optional<RolloutReport>& report, TimePoint now);
  /// Forgets everything: the duty is lost.
  void Reset();

  // Queries.

  /// Upstreams that load or are about to; they should get no new requests.
  std::set<UpstreamId> Loading() const;
  bool idle() const { return tasks_.empty(); }

 private:
  enum class Stage : std::uint8_t {
    kDraining,  ///< Gets no new requests; the count of orders is asked for.
    kOrdered,   ///< The order is on its way.
    kLoading,   ///< Accepted, or perhaps accepted.
    kPaused,
  };
  struct Task {
    Stage stage = Stage::kDraining;
    ModelId model;
    WeightVersionNumber weights = 0;
    Incarnation incarnation;
    std::optional<std::uint64_t> orders_accepted;
    std::uint64_t number = 0;  ///< Rises with each task.
    TimePoint begun;
    TimePoint since;  ///< Of the stage.
    TimePoint next_question;
    bool waiting = false;          ///< For an answer.
    std::uint32_t unanswered = 0;  ///< Questions in a row.
  };
  using Tasks = std::map<UpstreamId, Task>;

  struct Outdated {
    const UpstreamEntry* upstream;
    ModelId model;
    WeightVersionNumber weights;
    WeightVersionNumber held;  ///< What it has now.
    WorkAmount work;
  };

  static std::optional<Outdated> OutdatedModel(
      const UpstreamEntry& upstream,
      const std::map<ModelId, WeightVersionNumber>& named);
  void DropFinished(const std::map<ModelId, WeightVersionNumber>& named,
                    const UpstreamRoster& roster);
  std::vector<Outdated> Outstanding(
      const std::map<ModelId, WeightVersionNumber>& named,
      const UpstreamRoster& roster, const UpstreamLoad& load,
      TimePoint now) const;
  /// Engines that may be out of service at once.
  std::size_t OutOfServiceLimit(std::size_t outdated, bool idle) const;
  void Begin(const std::vector<Outdated>& outdated, std::size_t limit,
             TimePoint now);
  /// Sets how many may load at once.
  /// @return true if the engines have little to read
  bool Survey(const UpstreamRoster& roster, const UpstreamLoad& load,
              TimePoint now);
  std::optional<RolloutAction> Advance(const UpstreamId& upstream, Task& task,
                                       const UpstreamLoad& load, TimePoint now);
  std::optional<RolloutAction> AdvanceDraining(const UpstreamId& upstream,
                                               Task& task,
                                               const UpstreamLoad& load,
                                               TimePoint now);
  std::vector<Tasks::iterator> InOrderOfBeginning();
  /// True if one more upstream may get its order.
  bool MayOrderMore(const UpstreamLoad& load, TimePoint now) const;
  void NoteDone(const Task& task, TimePoint now);
  RolloutAction Ask(const UpstreamId& upstream, Task& task, TimePoint now);
  static void Enter(Task& task, Stage stage, TimePoint now);

  RolloutOptions options_;
  Tasks tasks_;
  std::uint64_t tasks_begun_ = 0;
  std::set<UpstreamId> held_back_;
  std::map<UpstreamId, TimePoint> aside_until_;
  std::size_t engines_ = 0;  ///< That do not leave.
  std::size_t at_once_ = 1;
  /// Shortest time lately from an accepted order to loaded weights.
  std::chrono::milliseconds load_time_{0};
  /// Mean time lately that an engine was out of service.
  std::chrono::milliseconds cycle_{0};
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ROLLOUT_PLANNER_H_
