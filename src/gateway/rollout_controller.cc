#include "gateway/rollout_controller.h"

#include <algorithm>
#include <utility>

#include "gateway/boot_clock.h"
#include "gateway/http_status.h"
#include "gateway/stored_row_times.h"
#include "platform/engine_calls.h"
#include "platform/table_calls.h"
#include "yuccapick/store_catch_up.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kLeaseKey[] = "rollout";

constexpr milliseconds kLeaseTerm{2'000};
constexpr milliseconds kLeaseRenewInterval{700};
constexpr milliseconds kLeaseRetryDelay{300};
constexpr milliseconds kTableTimeout{600};
constexpr milliseconds kOrderTimeout{400};
constexpr milliseconds kReportTimeout{300};
/// An order is answered by a status. A report lists an engine's requests.
constexpr std::size_t kMaxOrderAnswerBytes = 65'536;
constexpr std::size_t kMaxReportBytes = 262'144;
/// A new holder waits this much longer than the configured handover gap.
constexpr milliseconds kLeaseGapMargin{200};

LeaseOptions MakeLeaseOptions(const GatewayState& state,
                              Incarnation incarnation) {
  LeaseOptions options;
  options.key = kLeaseKey;
  options.holder = state.settings.instance.value;
  options.incarnation = incarnation;
  options.term = kLeaseTerm;
  options.renew_every = kLeaseRenewInterval;
  options.retry_every = kLeaseRetryDelay;
  options.holder_name_is_unique = true;
  return options;
}

RolloutOptions MakeRolloutOptions(const GatewayState& state) {
  RolloutOptions options;
  options.limit = state.settings.bounds.stale_weights_limit;
  return options;
}

/// @return nullopt if the read failed
std::optional<platform::RowsAnswer> ParseRows(
    const absl::StatusOr<StoreAnswer>& answer) {
  if (!answer.ok() || answer->status != kHttpOk) return std::nullopt;
  auto rows = platform::DecodeRows(answer->body);
  if (!rows.ok()) return std::nullopt;
  return *std::move(rows);
}

/// @return the lease's row, with version 0 if there is none
TableRow FindLeaseRow(const platform::RowsAnswer& answer,
                      const std::string& key) {
  for (const MirrorRow& row : answer.rows) {
    if (row.key == key) return {row.key, row.value, row.version};
  }
  return {key, "", 0};
}

WriteResult ToWriteResult(const absl::StatusOr<StoreAnswer>& answer) {
  if (!answer.ok()) {
    return absl::IsUnavailable(answer.status()) ? WriteResult::kNotApplied
                                                : WriteResult::kUnknown;
  }
  switch (answer->status) {
    case kHttpOk:
      return WriteResult::kApplied;
    case kHttpPreconditionFailed:
    case kHttpTooManyRequests:
    case kHttpUnavailable:
      return WriteResult::kNotApplied;
    default:
      return WriteResult::kUnknown;
  }
}

RolloutOrderResult ToOrderResult(const absl::StatusOr<CallAnswer>& answer) {
  if (!answer.ok()) {
    return absl::IsUnavailable(answer.status()) ? RolloutOrderResult::kRefused
                                                : RolloutOrderResult::kNone;
  }
  switch (answer->status) {
    case kHttpAccepted:
      return RolloutOrderResult::kAccepted;
    case kHttpOk:
      return RolloutOrderResult::kAlreadyLoaded;
    case kHttpConflict:
      return RolloutOrderResult::kConflict;
    default:
      return RolloutOrderResult::kRefused;
  }
}

}  // namespace

RolloutController::RolloutController(GatewayState& state, CallClient& calls,
                                     std::shared_ptr<StoreClient> store,
                                     Incarnation incarnation)
    : state_(state),
      calls_(calls),
      store_(std::move(store)),
      lease_(MakeLeaseOptions(state, incarnation)),
      planner_(MakeRolloutOptions(state)),
      orders_(state.settings.bounds.lease_handover_gap + kLeaseGapMargin) {}

bool RolloutController::holds() const { return lease_.IsHeld(BootTimeNow()); }

std::set<UpstreamId> RolloutController::Loading() const {
  return holds() ? planner_.Loading() : std::set<UpstreamId>();
}

void RolloutController::OnTick(bool other_holder) {
  UpdateHeldFence();
  lease_.SetObserveInterval(
      std::max(kLeaseRetryDelay, StoreReadSpread(state_.LiveGateways())));
  // While another holder reports itself, the store need not be read.
  if (!other_holder || holds() || lease_.busy()) RunLease();
  RunPlanner();
}

void RolloutController::OnPeerLease(const LeaseWrite& write) {
  lease_.OnWriteReported(write, BootTimeNow());
}

void RolloutController::OnGeneration(StoreGeneration generation) {
  const milliseconds spread = StoreReadSpread(state_.LiveGateways());
  lease_.OnGeneration(generation, BootTimeNow() + state_.RandomDelay(spread));
  UpdateHeldFence();
}

void RolloutController::RunPlanner() {
  if (!MayOrder()) return;
  planner_.SetExcludedUpstreams(ExcludedUpstreams());
  for (const RolloutAction& action :
       planner_.OnTick(state_.target_weights.NewestOfAllModels(), state_.roster,
                       state_.load, state_.Now())) {
    std::visit([this](const auto& it) { Execute(it); }, action);
  }
  if (!orders_.AnnounceOrders(planner_.Loading(), BootTimeNow())) return;
  lease_.SetNote(orders_.Announcement());
  RunLease();
}

bool RolloutController::IsPaused(const UpstreamEntry& upstream) const {
  return state_.WaitForPause(upstream) > milliseconds(0);
}

std::set<UpstreamId> RolloutController::ExcludedUpstreams() const {
  std::set<UpstreamId> excluded = orders_.BlockedByPredecessor(BootTimeNow());
  if (state_.pauses.size() == 0) return excluded;
  for (const UpstreamEntry* upstream : state_.roster.All()) {
    if (IsPaused(*upstream)) excluded.insert(upstream->id);
  }
  return excluded;
}

void RolloutController::UpdateHeldFence() {
  const TimePoint now = BootTimeNow();
  const FencingToken fence = lease_.fence(now);
  if (fence == held_fence_) return;
  const bool gained = fence.value != 0;
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event={} lease={} fence={} before={}",
                   gained ? "lease_gained" : "lease_lost", kLeaseKey,
                   fence.value, held_fence_.value);
  held_fence_ = fence;
  planner_.Reset();
  if (!gained || !orders_.BeginTerm(fence)) return;
  orders_allowed_from_ = now;
  if (!TakeOverOrders(now)) {
    *orders_allowed_from_ +=
        state_.settings.bounds.lease_handover_gap + kLeaseGapMargin;
  }
}

bool RolloutController::TakeOverOrders(TimePoint now) {
  const std::string& predecessor = lease_.predecessor();
  const std::string& note = lease_.predecessor_note();
  if (held_fence_.value == 1) {
    lease_.SetNote(orders_.Announcement());
    return true;
  }
  // A holder that didn't know its predecessor's orders left no note.
  if (note.empty()) return false;
  if (predecessor == state_.settings.instance.value) {
    orders_.ResumeAfterRestart(note, now);
    return true;
  }
  return predecessor.empty() ? orders_.ImportHandover(note, now)
                             : orders_.ImportAnnouncement(note, now);
}

void RolloutController::ReleaseLease() {
  const TimePoint now = BootTimeNow();
  const bool waits_for_predecessor =
      orders_allowed_from_ && now < *orders_allowed_from_;
  lease_.Release(waits_for_predecessor ? "" : orders_.HandoverNote(now));
}

bool RolloutController::MayOrder() const {
  const TimePoint now = BootTimeNow();
  return lease_.IsHeld(now) && orders_allowed_from_ &&
         now >= *orders_allowed_from_ && lease_.fence(now) == held_fence_;
}

void RolloutController::RunLease() {
  const std::optional<LeaseAction> action = lease_.OnTick(BootTimeNow());
  if (!action) return;
  if (const auto* commit = std::get_if<LeaseCommit>(&*action)) {
    return Commit(commit->transaction);
  }
  Read();
}

void RolloutController::Read() {
  const std::string& endpoint = state_.settings.table_endpoint;
  store_->Call(
      endpoint, platform::EncodeReadRows(endpoint, kLeaseTable, kLeaseKey),
      kTableTimeout,
      [self = shared_from_this()](const absl::StatusOr<StoreAnswer>& answer) {
        self->OnRead(answer);
      });
}

void RolloutController::OnRead(const absl::StatusOr<StoreAnswer>& answer) {
  const TimePoint now = BootTimeNow();
  const std::optional<platform::RowsAnswer> rows = ParseRows(answer);
  std::optional<TableRow> lease_row;
  if (rows) {
    state_.store_times.OnAnswer(*rows, answer->generation, now);
    ImportRowTimes(*rows, state_);
    lease_row = FindLeaseRow(*rows, lease_.RowKey());
  }
  lease_.OnRead(lease_row, now);
  UpdateHeldFence();
  RunLease();
}

void RolloutController::Commit(const TableTransaction& transaction) {
  const std::string& endpoint = state_.settings.table_endpoint;
  platform::RowWrite write;
  write.table = kLeaseTable;
  write.key = transaction.puts.front().key;
  write.value = transaction.puts.front().value;
  write.expected = transaction.checks.front().version;
  orders_.OnAnnouncementSent();
  store_->Call(
      endpoint,
      platform::EncodeWrites(endpoint, {write, MakeRowTimesWrite(state_)}),
      kTableTimeout,
      [self = shared_from_this()](const absl::StatusOr<StoreAnswer>& answer) {
        self->OnCommitted(answer);
      });
}

void RolloutController::OnCommitted(const absl::StatusOr<StoreAnswer>& answer) {
  CommitResult result;
  result.result = ToWriteResult(answer);
  if (result.result == WriteResult::kApplied) orders_.OnAnnouncementWritten();
  lease_.OnCommitted(result, BootTimeNow());
  UpdateHeldFence();
}

void RolloutController::Execute(const RolloutOrder& order) {
  const UpstreamEntry* upstream = state_.roster.FindUsable(order.upstream);
  const TimePoint now = BootTimeNow();
  if (upstream == nullptr || IsPaused(*upstream) || !MayOrder() ||
      !orders_.MayOrder(order.upstream, now)) {
    return planner_.OnRolloutOrderResult(
        order.upstream, RolloutOrderResult::kRefused, state_.Now());
  }
  orders_.OnOrder(order.upstream, now);
  LoadOrder load;
  load.model = order.model;
  load.weights = order.weights;
  load.holder = state_.settings.instance.value;
  load.fence = held_fence_;
  load.expected_orders = order.expected_orders;
  calls_.Call(
      upstream->endpoint, platform::EncodeLoadOrder(*upstream, load),
      kOrderTimeout,
      [self = shared_from_this(), order](
          const absl::StatusOr<CallAnswer>& answer,
          const CallProgress& /*progress*/) {
        self->OnRolloutOrderResult(order, answer);
      },
      {ConnectionUse::kOwn, kMaxOrderAnswerBytes, /*within_budget=*/true});
}

void RolloutController::OnRolloutOrderResult(
    const RolloutOrder& order, const absl::StatusOr<CallAnswer>& answer) {
  state_.log.Write(
      LogKind::kStateChange, state_.Now(),
      "event=order_answered upstream={} model={} weights={} fence={} "
      "expected_orders={} status={} reason=\"{}\"",
      order.upstream.value, order.model.value, order.weights, held_fence_.value,
      order.expected_orders, answer.ok() ? answer->status : 0,
      answer.ok() ? "" : answer.status().message().data());
  planner_.OnRolloutOrderResult(order.upstream, ToOrderResult(answer),
                                state_.Now());
  RunPlanner();
}

void RolloutController::Execute(const RolloutStatusQuery& query) {
  const UpstreamEntry* upstream = state_.roster.FindUsable(query.upstream);
  if (upstream == nullptr || IsPaused(*upstream)) {
    return planner_.OnReport(query.upstream, std::nullopt, state_.Now());
  }
  calls_.Call(upstream->endpoint, platform::EncodeReportRequest(*upstream),
              kReportTimeout,
              [self = shared_from_this(), id = upstream->id](
                  const absl::StatusOr<CallAnswer>& answer,
                  const CallProgress& /*progress*/) {
                self->OnReportAnswer(id, answer);
              },
              {ConnectionUse::kOwn, kMaxReportBytes, /*within_budget=*/true});
}

void RolloutController::OnReportAnswer(
    const UpstreamId& upstream, const absl::StatusOr<CallAnswer>& answer) {
  std::optional<RolloutReport> report;
  if (answer.ok() && answer->status == kHttpOk) {
    const auto decoded = platform::DecodeReport(answer->body);
    if (decoded.ok()) {
      report = RolloutReport{decoded->weights, decoded->busy,
                             decoded->orders_accepted};
    } else {
      state_.log.Write(LogKind::kFailure, state_.Now(),
                       "event=report_unreadable upstream={} reason=\"{}\"",
                       upstream.value, decoded.status().message().data());
    }
  }
  if (report && !report->busy) {
    for (const auto& [model, weights] : report->weights) {
      state_.RecordObservedWeights(upstream, model, weights);
    }
  }
  planner_.OnReport(upstream, report, state_.Now());
  RunPlanner();
}

}  // namespace yuccapick
