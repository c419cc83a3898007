#include "yuccapick/agent_core.h"

#include <algorithm>
#include <utility>

#include "agent_impl.h"

namespace yuccapick {
namespace {

constexpr double kAssumedTokensPerSecond = 10'000;

OperationDedupOptions MemoryOptions(const AgentCoreOptions& options) {
  OperationDedupOptions memory;
  memory.guards = options.guards;
  return memory;
}

SlotSharesOptions SlotOptions(const AgentCoreOptions& options) {
  SlotSharesOptions slots;
  slots.max_slots = options.max_slots;
  return slots;
}

}  // namespace

AgentCore::AgentCore(AgentCoreOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

AgentCore::~AgentCore() = default;

AgentActions AgentCore::Handle(const AgentEvent& event, TimePoint now) {
  return impl_->Handle(event, now);
}

AgentReport AgentCore::FullReport(TimePoint now) const {
  return impl_->FullReport(now);
}

const UpstreamInfo& AgentCore::Upstream() const { return impl_->Upstream(); }

AgentCore::Impl::Impl(AgentCoreOptions options)
    : options_(std::move(options)),
      gate_(options_.guards),
      memory_(MemoryOptions(options_)),
      slots_(SlotOptions(options_)) {
  UpstreamInfo& upstream = options_.upstream;
  upstream.engine_incarnation =
      std::max(upstream.engine_incarnation, upstream.agent_incarnation);
}

AgentActions AgentCore::Impl::Handle(const AgentEvent& event, TimePoint now) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& typed) { On(typed); }, event);
  StartQueued();
  if (!next_report_ || *next_report_ <= now_) Push();
  CheckDrained();
  actions_.push_back(WakeAt{*next_report_});
  return std::exchange(actions_, {});
}

AgentReport AgentCore::Impl::FullReport(TimePoint now) const {
  AgentReport report = MakeReport(now);
  report.digest = picture_.FullDigest(now);
  report.digest_is_full = true;
  return report;
}

AgentReport AgentCore::Impl::MakeReport(TimePoint now) const {
  AgentReport report;
  report.upstream = options_.upstream;
  report.config = gate_.config();
  report.sequence = sequence_;
  report.load = load_;
  AddQueue(report.load, now);
  return report;
}

/// Adds the work that waits here, in tokens of prefill that take as long.
void AgentCore::Impl::AddQueue(LoadReport& load, TimePoint now) const {
  if (queue_.size() == 0) return;
  load.queued += static_cast<std::uint32_t>(queue_.size());
  if (load.prefill_tokens_per_second <= 0) {
    load.prefill_tokens_per_second = kAssumedTokensPerSecond;
  }
  const double wait = drain_.ExpectedWait(queue_.size(), now).count();
  load.queued_prefill_tokens +=
      static_cast<std::uint64_t>(wait * load.prefill_tokens_per_second);
}

void AgentCore::Impl::Push() {
  ++sequence_;
  AgentReport report = MakeReport(now_);
  CacheDelta delta = picture_.TakeDelta(now_);
  report.digest = std::move(delta.added);
  report.evicted = std::move(delta.evicted);
  actions_.push_back(PushReport{std::move(report)});
  next_report_ = now_ + options_.report_interval;
}

void AgentCore::Impl::On(const UpstreamPolled& event) {
  const bool restarted = !boot_id_.empty() && boot_id_ != event.boot_id;
  boot_id_ = event.boot_id;
  UpstreamInfo& upstream = options_.upstream;
  if (restarted) {
    upstream.engine_incarnation = upstream.engine_incarnation.Next();
    picture_.Clear();
    BreakAll("the upstream restarted");
  }
  load_ = event.load;
  slots_.OnLoad(load_, queue_.size() > 0);
  const bool loaded_changed = upstream.loaded != event.loaded;
  upstream.loaded = event.loaded;
  const bool back = upstream.state == UpstreamState::kSuspect;
  if (back) upstream.state = UpstreamState::kLive;
  if (restarted || loaded_changed || back) Push();
}

void AgentCore::Impl::On(const UpstreamUnreachable& /*event*/) {
  UpstreamInfo& upstream = options_.upstream;
  if (upstream.state != UpstreamState::kLive) return;
  upstream.state = UpstreamState::kSuspect;
  Push();
}

void AgentCore::Impl::On(const CacheEventsArrived& event) {
  picture_.Apply(event.boot_id, event.events, now_);
}

void AgentCore::Impl::On(const OrderArrived& event) {
  std::optional<Error> error = orders_.Check(event.order, options_.upstream);
  if (!error) {
    actions_.push_back(ForwardOrder{event.order});
    return;
  }
  actions_.push_back(
      ReplyOrder{{event.order.id, false, *error, orders_.highest()}});
}

void AgentCore::Impl::On(const OrderAnswered& event) {
  OrderResult result;
  result.id = event.order;
  result.accepted = event.accepted;
  result.highest_fence = orders_.highest();
  if (!event.accepted) {
    result.error = {ErrorKind::kUpstreamFailed, Execution::kNotRun,
                    event.reason, std::nullopt};
  }
  actions_.push_back(ReplyOrder{std::move(result)});
}

void AgentCore::Impl::On(const UpstreamDrainRequested& event) {
  if (drain_deadline_) return;
  drain_deadline_ = now_ + event.deadline;
  options_.upstream.state = UpstreamState::kLeaving;
  RefuseAllQueued();
  Push();
}

void AgentCore::Impl::On(const ConfigChanged& event) {
  if (event.config == nullptr) return;
  if (config_ != nullptr && config_->version >= event.config->version) return;
  config_ = event.config;
  gate_.ObserveConfig(config_->version);
  for (const TeamConfig& team : config_->teams) {
    slots_.SetWeight(team.id, team.weight);
  }
}

void AgentCore::Impl::On(const TableCommitted& /*event*/) {}

void AgentCore::Impl::On(const TableRead& /*event*/) {}

void AgentCore::Impl::On(const Tick& /*event*/) {
  ExpireAttempts();
  memory_.Sweep(now_);
}

void AgentCore::Impl::CheckDrained() {
  if (!drain_deadline_ || drain_reported_) return;
  if (!AllAnswered() && now_ < *drain_deadline_) return;
  drain_reported_ = true;
  actions_.push_back(DrainComplete{});
}

}  // namespace yuccapick
