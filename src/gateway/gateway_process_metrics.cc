#include <chrono>

#include "gateway/gateway_process.h"
#include "shell/metrics_server.h"

namespace yuccapick {

using std::chrono::milliseconds;

namespace {

std::uint64_t Milliseconds(TimePoint::duration time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(time).count());
}

}  // namespace

std::string GatewayProcess::RenderMetrics() const {
  const TimePoint now = state_.Now();
  std::string out = state_.metrics.Render();
  out += quota_sync_->RenderMetrics();
  out += state_.overload.RenderMetrics();
  out += state_.speeds.RenderMetrics();
  const auto gauge = [&out](std::string_view name, std::uint64_t value) {
    AppendMetric(out, "gauge", name, value);
  };
  const auto counter = [&out](std::string_view name, std::uint64_t value) {
    AppendMetric(out, "counter", name, value);
  };
  gauge("yuccapick_config_version",
        state_.config == nullptr ? 0 : state_.config->version().value);
  gauge("yuccapick_config_age_ms",
        Milliseconds(now - operator_watch_->answered_at()));
  gauge("yuccapick_store_in_touch", operator_watch_->reachable() ? 1 : 0);
  const StoreTime store_now = state_.StoreNow().value_or(StoreTime());
  gauge("yuccapick_store_time_ms",
        static_cast<std::uint64_t>(store_now.time_since_epoch().count()));
  gauge("yuccapick_store_outage", in_store_outage_ ? 1 : 0);
  gauge("yuccapick_tables_confirmation_age_ms",
        static_cast<std::uint64_t>(freshness_sync_->Age(now).count()));
  const auto behind_since =
      freshness_sync_->BehindSince(WatchedTable::kOperator);
  gauge("yuccapick_config_behind_ms",
        behind_since ? Milliseconds(now - *behind_since) : 0);
  const CallProgress* arriving = operator_watch_->ArrivingAnswer();
  gauge("yuccapick_config_arriving_ms",
        arriving == nullptr ? 0 : Milliseconds(now - *arriving->first_byte_at));
  const FreshnessSync::Counters& checks = freshness_sync_->counters();
  counter("yuccapick_table_checks_sent", checks.checks);
  counter("yuccapick_table_checks_failed", checks.failed_checks);
  counter("yuccapick_watches_renewed", checks.renewed_polls);
  counter("yuccapick_tables_from_peers", tables_from_peers_);
  counter("yuccapick_peer_table_fetches_failed", peer_table_fetches_failed_);
  counter("yuccapick_peer_table_bytes_received", peer_table_bytes_received_);
  counter("yuccapick_peer_table_bytes_written",
          exchange_.table_bytes_written());
  counter("yuccapick_peer_table_requests_refused",
          exchange_.table_requests_refused());
  counter("yuccapick_peer_datagrams_unsent", exchange_.datagrams_unsent());
  counter("yuccapick_peer_datagrams_unreadable",
          exchange_.datagrams_unreadable());
  gauge("yuccapick_peer_table_bytes_unsent", exchange_.unsent_bytes());
  gauge("yuccapick_peer_table_sessions", exchange_.session_count());
  const StoreClient::Counters& received = store_->counters();
  counter("yuccapick_store_bytes_received", received.body_bytes);
  counter("yuccapick_store_answers_broken_off", received.broken_off);
  counter("yuccapick_store_bytes_wasted", received.wasted_bytes);
  const StoreGenerations& generations = store_->generations();
  gauge("yuccapick_store_generation", generations.current().value);
  counter("yuccapick_store_generation_changes", generations.changes());
  counter("yuccapick_store_answers_late", generations.late_answers());
  counter("yuccapick_store_answers_unsound", generations.unsound_answers());
  counter("yuccapick_store_tables_restored", tables_restored_);
  gauge("yuccapick_upstreams_listed", state_.roster.All().size());
  gauge("yuccapick_upstreams_loading", state_.loading.size());
  gauge("yuccapick_peers_live", peers_.LiveCount(now));
  gauge("yuccapick_rollout_lease_held", rollout_->holds() ? 1 : 0);
  gauge("yuccapick_known_prompt_parts", state_.parts.size());
  gauge("yuccapick_part_owners", part_sharing_->owner_count());
  counter("yuccapick_part_queries_sent", state_.part_counters.queries_sent);
  counter("yuccapick_part_queries_answered",
          state_.part_counters.queries_answered);
  counter("yuccapick_part_updates_sent", state_.part_counters.updates_sent);
  gauge("yuccapick_caller_connections", ingress_server_->session_count());
  gauge("yuccapick_caller_connections_limit",
        CallerConnectionLimit(state_.settings));
  gauge("yuccapick_caller_unsent_bytes", ingress_server_->unsent_bytes());
  gauge("yuccapick_request_memory_limit_bytes", state_.request_memory->limit());
  counter("yuccapick_callers_ended", state_.callers_ended);
  gauge("yuccapick_requests_under_way", ingress_server_->busy_count());
  gauge("yuccapick_request_memory_bytes", state_.request_memory->used());
  counter("yuccapick_requests_without_memory",
          state_.request_memory->refused());
  counter("yuccapick_process_pauses", pauses_);
  gauge("yuccapick_known_stream_origins", state_.stream_origins.size());
  gauge("yuccapick_stream_origin_lifetime_ms",
        static_cast<std::uint64_t>(state_.stream_origins.lifetime().count()));
  counter("yuccapick_unknown_stream_origins", state_.unknown_stream_origins);
  counter("yuccapick_lost_stream_origins", state_.lost_stream_origins);
  counter("yuccapick_saved_stream_origins", stream_origin_record_->saved());
  counter("yuccapick_unsaved_stream_origins_dropped",
          stream_origin_record_->dropped());
  gauge("yuccapick_limited_upstreams", state_.limits.limited_count());
  gauge("yuccapick_paused_upstreams", state_.pauses.size());
  counter("yuccapick_requests_held_back", state_.requests_held_back);
  gauge("yuccapick_blocked_parts",
        state_.quarantine.blocked_count(SuspectKind::kPart));
  gauge("yuccapick_blocked_requests",
        state_.quarantine.blocked_count(SuspectKind::kRequest));
  gauge("yuccapick_suspects", state_.quarantine.suspect_count());
  counter("yuccapick_requests_with_blocked_part",
          state_.requests_with_blocked_part);
  counter("yuccapick_blocked_requests_refused",
          state_.blocked_requests_refused);
  counter("yuccapick_suspect_trials", state_.suspect_trials);
  counter("yuccapick_attempts_on_overdue_weights",
          state_.attempts_on_overdue_weights);
  counter("yuccapick_log_lines_dropped", state_.log.dropped());
  counter("yuccapick_log_bytes", state_.log.written_bytes());
  counter("yuccapick_requests_not_admitted", not_admitted_);
  return out;
}

}  // namespace yuccapick
