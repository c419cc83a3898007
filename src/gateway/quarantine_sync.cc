#include "gateway/quarantine_sync.h"

#include <fmt/format.h>

#include <iterator>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "gateway/http_status.h"
#include "platform/table_calls.h"
#include "yuccapick/store_catch_up.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kTable[] = "yuccapick-blocked-parts";
/// The attempts that one crash breaks are reported together.
constexpr milliseconds kSendDelay{20};
constexpr int kDecisionCopies = 3;
constexpr milliseconds kSaveTimeout{800};
constexpr milliseconds kSaveRetryDelay{400};

/// Earlier versions of the program block parts only, and read their keys as a
/// hash.
std::string FormatKey(const SuspectId& suspect) {
  if (suspect.kind == SuspectKind::kPart) {
    return fmt::format("{:016x}", suspect.hash);
  }
  return FormatSuspect(suspect);
}

std::optional<SuspectId> ParseKey(const std::string& key) {
  SuspectId suspect;
  if (absl::SimpleHexAtoi(key, &suspect.hash)) return suspect;
  return ParseSuspect(key);
}

std::int64_t Count(StoreTime time) { return time.time_since_epoch().count(); }

std::string FormatValue(const SuspectDecision& decision) {
  return fmt::format("{} {} {}", Count(decision.decided_at),
                     Count(decision.until), decision.blocks);
}

/// Parses a row that `FormatKey` and `FormatValue` have written.
std::optional<SuspectDecision> ParseRow(const MirrorRow& row) {
  const std::optional<SuspectId> suspect = ParseKey(row.key);
  if (!suspect) return std::nullopt;
  SuspectDecision decision;
  decision.suspect = *suspect;
  if (row.removed) return decision;
  const std::vector<std::string> words = absl::StrSplit(row.value, ' ');
  std::int64_t decided_ms = 0;
  std::int64_t until_ms = 0;
  if (words.size() != 3 || !absl::SimpleAtoi(words[0], &decided_ms) ||
      !absl::SimpleAtoi(words[1], &until_ms) ||
      !absl::SimpleAtoi(words[2], &decision.blocks)) {
    return std::nullopt;
  }
  decision.blocked = true;
  decision.decided_at = StoreTime(milliseconds(decided_ms));
  decision.until = StoreTime(milliseconds(until_ms));
  return decision;
}

}  // namespace

QuarantineSync::QuarantineSync(GatewayState& state,
                               std::shared_ptr<StoreClient> store,
                               PeerExchange& exchange,
                               const PeerRegistry& peers)
    : state_(state),
      store_(std::move(store)),
      exchange_(exchange),
      peers_(peers),
      send_(state.loop, kSendDelay, [this] { Send(state_.Now()); }) {
  TableWatchOptions options;
  options.endpoint = state_.settings.table_endpoint;
  options.table = kTable;
  TableWatchHandler& handler = *this;
  watch_ = std::make_shared<TableWatch>(state_.loop, *store_,
                                        state_.store_times, options, handler);
}

void QuarantineSync::Start() { watch_->Start(); }

void QuarantineSync::Stop() {
  watch_->Stop();
  send_.Cancel();
}

void QuarantineSync::OnTick(TimePoint now) {
  state_.quarantine.SetPeers(state_.live_peers);
  watch_->SetGatewayCount(state_.gateway_count);
  if (const auto store_now = state_.StoreNow()) {
    state_.quarantine.OnTick(*store_now);
  }
  Repeat(now);
  Send(now);
  SaveNext(now);
}

void QuarantineSync::Send(TimePoint now) {
  std::vector<AddressedSuspectReport> reports = state_.quarantine.TakeReports();
  SendReports(reports);
  repeated_reports_.insert(repeated_reports_.end(),
                           std::make_move_iterator(reports.begin()),
                           std::make_move_iterator(reports.end()));
  std::vector<SuspectDecision> decisions = state_.quarantine.TakeDecisions();
  if (decisions.empty()) return;
  for (const SuspectDecision& decision : decisions) {
    Log(decision, "own");
    unsaved_[decision.suspect] = decision;
  }
  exchange_.Send(decisions, peers_.Targets(now));
  repeated_decisions_.push_back({std::move(decisions), kDecisionCopies - 1});
}

void QuarantineSync::SendReports(
    const std::vector<AddressedSuspectReport>& reports) {
  for (const AddressedSuspectReport& it : reports) {
    const std::string endpoint = peers_.EndpointOf(it.to, state_.Now());
    if (!endpoint.empty()) exchange_.Send(it.report, {endpoint});
  }
}

void QuarantineSync::Repeat(TimePoint now) {
  SendReports(std::exchange(repeated_reports_, {}));
  for (RepeatedDecisions& it : repeated_decisions_) {
    exchange_.Send(it.decisions, peers_.Targets(now));
    --it.copies_left;
  }
  std::erase_if(repeated_decisions_, [](const RepeatedDecisions& it) {
    return it.copies_left == 0;
  });
}

void QuarantineSync::OnReport(const SuspectReport& report) {
  const auto now = state_.StoreNow();
  if (!now) return;
  state_.quarantine.OnReport(report, *now);
  if (state_.quarantine.HasNews()) Schedule();
}

void QuarantineSync::OnDecisions(
    const std::vector<SuspectDecision>& decisions) {
  for (const SuspectDecision& decision : decisions) Apply(decision, "peer");
}

void QuarantineSync::OnTableRows(const std::string& /*table*/,
                                 const std::vector<MirrorRow>& changes) {
  for (const MirrorRow& row : changes) ApplyRow(row);
}

void QuarantineSync::OnTableRestored(const std::string& /*table*/,
                                     const std::vector<MirrorRow>& changes) {
  for (const MirrorRow& row : changes) {
    // A row that is missing from a copy was not removed by an operator.
    if (!row.removed) ApplyRow(row);
  }
  const std::size_t before = unsaved_.size();
  SaveMissing();
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=blocked_suspects_restored differing={} to_save={}",
                   changes.size(), unsaved_.size() - before);
}

void QuarantineSync::SaveMissing() {
  std::map<SuspectId, SuspectDecision> saved;
  for (const MirrorRow& row : watch_->mirror().Snapshot().rows) {
    if (const auto it = ParseRow(row)) saved[it->suspect] = *it;
  }
  for (const SuspectDecision& known : state_.quarantine.Decisions()) {
    if (!state_.quarantine.IsCoordinator(known.suspect)) continue;
    const auto it = saved.find(known.suspect);
    const bool is_saved = it != saved.end() && it->second == known;
    const bool is_absent = it == saved.end() && !known.blocked;
    if (!is_saved && !is_absent) unsaved_[known.suspect] = known;
  }
  next_save_ = state_.Now() +
               state_.RandomDelay(StoreWriteSpread(state_.LiveGateways()));
}

void QuarantineSync::ApplyRow(const MirrorRow& row) {
  std::optional<SuspectDecision> decision = ParseRow(row);
  if (!decision) {
    state_.log.Write(LogKind::kStateChange, state_.Now(),
                     "event=blocked_suspect_ignored key={} row_version={}",
                     row.key, row.version);
    return;
  }
  if (row.removed) {
    const auto now = state_.StoreNow();
    if (!now || !state_.quarantine.IsBlocked(decision->suspect)) return;
    decision->decided_at = *now;
    decision->until = *now;
  }
  Apply(*decision, "store");
}

void QuarantineSync::Apply(const SuspectDecision& decision,
                           std::string_view source) {
  if (state_.quarantine.OnDecision(decision)) Log(decision, source);
}

void QuarantineSync::Log(const SuspectDecision& decision,
                         std::string_view source) {
  state_.log.Write(
      LogKind::kStateChange, state_.Now(),
      "event={} suspect={} source={} decided_ms={} until_ms={} "
      "blocks={} trial_by={} store_time_ms={}",
      decision.blocked ? "suspect_blocked" : "suspect_cleared",
      FormatSuspect(decision.suspect), source, Count(decision.decided_at),
      Count(decision.until), decision.blocks,
      decision.trial_by.value.empty() ? "-" : decision.trial_by.value,
      Count(state_.StoreNow().value_or(StoreTime())));
}

void QuarantineSync::SaveNext(TimePoint now) {
  if (unsaved_.empty() || saving_ || now < next_save_) return;
  const SuspectDecision decision = unsaved_.begin()->second;
  saving_ = true;
  next_save_ = now + kSaveRetryDelay;
  const std::string& store = state_.settings.table_endpoint;
  platform::RowWrite write;
  write.table = kTable;
  write.key = FormatKey(decision.suspect);
  if (decision.blocked) write.value = FormatValue(decision);
  store_->Call(store, platform::EncodeWrite(store, write), kSaveTimeout,
               [self = shared_from_this(),
                decision](const absl::StatusOr<StoreAnswer>& answer) {
                 self->OnSaved(decision, answer);
               });
}

void QuarantineSync::OnSaved(const SuspectDecision& decision,
                             const absl::StatusOr<StoreAnswer>& answer) {
  saving_ = false;
  const int status = answer.ok() ? answer->status : 0;
  state_.log.Write(
      LogKind::kStateChange, state_.Now(),
      "event=blocked_suspect_saved suspect={} blocked={} status={}",
      FormatSuspect(decision.suspect), decision.blocked, status);
  const bool refused = status >= kHttpBadRequest &&
                       status < kHttpFirstServerError &&
                       status != kHttpTooManyRequests;
  // A row that the store doesn't accept would be refused again.
  if (status != kHttpOk && !refused) return;
  next_save_ = TimePoint();
  const auto it = unsaved_.find(decision.suspect);
  if (it != unsaved_.end() && it->second == decision) unsaved_.erase(it);
}

}  // namespace yuccapick
