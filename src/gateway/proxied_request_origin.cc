#include <xxhash.h>

#include <algorithm>
#include <memory>

#include "gateway/http_status.h"
#include "gateway/proxied_request.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// After this time the gateway that began a stream has usually told its peers.
constexpr milliseconds kOriginRetryAfter{200};

/// Longest wait of a resumed stream for the list of upstreams.
constexpr milliseconds kMaxListWait{1'500};
/// Longest wait of a resumed stream for what the store knows of its origin.
constexpr milliseconds kMaxLookupWait{1'500};

bool IsTarget(const GatewayRoute& route, const ServiceId& service) {
  return std::any_of(
      route.targets.begin(), route.targets.end(),
      [&](const RouteTarget& target) { return target.service == service; });
}

std::int64_t Milliseconds(std::chrono::steady_clock::duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

}  // namespace

ServiceId ProxiedRequest::PickService() {
  const std::vector<RouteTarget>& targets = admitted_.route->targets;
  if (targets.empty()) return ServiceId();
  double total = 0;
  for (const RouteTarget& target : targets) total += target.weight;
  const std::string& id = admitted_.caller.attempt_id;
  const auto hash =
      static_cast<std::uint32_t>(XXH3_64bits(id.data(), id.size()));
  double point = total * hash / 4'294'967'296.0;
  for (const RouteTarget& target : targets) {
    point -= target.weight;
    if (point < 0) return target.service;
  }
  return targets.back().service;
}

bool ProxiedRequest::NeedsExactOrigin() const {
  return admitted_.route->targets.size() > 1 ||
         state_.stream_origins.IsMixed(service_, state_.Now());
}

ProxiedRequest::OriginSearch ProxiedRequest::FindStreamOrigin(
    bool list_confirmed) {
  const CallerHeaders& caller = admitted_.caller;
  if (admitted_.route->kind != RouteKind::kStreaming) {
    return OriginSearch::kFound;
  }
  if (caller.resumes.empty() && !caller.last_event_id) {
    return OriginSearch::kFound;
  }
  auto origin = state_.stream_origins.Find(StreamIdOf(caller.resumes));
  if (!origin && !NeedsExactOrigin()) {
    if (!list_confirmed) return OriginSearch::kUnconfirmed;
    origin = state_.stream_origins.OnlyGroup(service_, state_.Now());
  }
  if (!origin || !IsTarget(*admitted_.route, origin->service)) {
    return OriginSearch::kUnknown;
  }
  service_ = origin->service;
  stream_software_ = origin->software;
  return OriginSearch::kFound;
}

void ProxiedRequest::AwaitListConfirmation() {
  const milliseconds limit = std::min(kMaxListWait, TimeLeft(state_.Now()) / 2);
  const std::weak_ptr<ProxiedRequest> weak = weak_from_this();
  state_.confirm_list(limit, [weak](bool confirmed) {
    const auto self = weak.lock();
    if (self != nullptr) self->OnListConfirmation(confirmed);
  });
}

void ProxiedRequest::OnListConfirmation(bool confirmed) {
  if (done_) return;
  const OriginSearch search = FindStreamOrigin(confirmed);
  if (search != OriginSearch::kFound) return LookUpStreamOrigin(confirmed);
  state_.log.Write(
      LogKind::kRequest, state_.Now(),
      "event=stream_origin_confirmed id={} software={} waited_ms={}",
      admitted_.caller.attempt_id, stream_software_->value,
      Milliseconds(state_.Now() - admitted_.request.arrived_at));
  Place();
}

void ProxiedRequest::LookUpStreamOrigin(bool list_confirmed) {
  const CallerHeaders& caller = admitted_.caller;
  const StreamId stream = StreamIdOf(caller.resumes);
  // The stream's service may only be missing on the route.
  const bool known = state_.stream_origins.Find(stream).has_value();
  if (caller.resumes.empty() || known) {
    return RefuseUnknownStream(list_confirmed);
  }
  const milliseconds limit =
      std::min(kMaxLookupWait, TimeLeft(state_.Now()) / 2);
  const std::weak_ptr<ProxiedRequest> weak = weak_from_this();
  state_.look_up_stream_origin(stream, limit, [weak, list_confirmed] {
    const auto self = weak.lock();
    if (self != nullptr) self->OnOriginLookedUp(list_confirmed);
  });
}

void ProxiedRequest::OnOriginLookedUp(bool list_confirmed) {
  if (done_) return;
  const CallerHeaders& caller = admitted_.caller;
  if (FindStreamOrigin(list_confirmed) != OriginSearch::kFound) {
    // While the record may lack rows, gateways that know the origin may not
    // have saved it again.
    const bool complete = state_.stream_origins.KnowsHistory(state_.Now());
    const bool lost = complete && NeedsExactOrigin() &&
                      state_.is_stream_origin_lost(StreamIdOf(caller.resumes));
    return lost ? RefuseLostStream() : RefuseUnknownStream(list_confirmed);
  }
  state_.log.Write(
      LogKind::kRequest, state_.Now(),
      "event=stream_origin_looked_up id={} resumes={} software={} waited_ms={}",
      caller.attempt_id, caller.resumes, stream_software_->value,
      Milliseconds(state_.Now() - admitted_.request.arrived_at));
  Place();
}

void ProxiedRequest::RefuseLostStream() {
  ++state_.unknown_stream_origins;
  ++state_.lost_stream_origins;
  const CallerHeaders& caller = admitted_.caller;
  state_.log.Write(LogKind::kFailure, state_.Now(),
                   "event=stream_origin_lost id={} resumes={} route={} "
                   "known_streams={}",
                   caller.attempt_id, caller.resumes, admitted_.route->name,
                   state_.stream_origins.size());
  session_->Respond(kHttpGone, {}, "not run\n");
  Finish("refused", kHttpGone, "software version of the stream is lost");
}

void ProxiedRequest::RefuseUnknownStream(bool list_confirmed) {
  ++state_.unknown_stream_origins;
  const CallerHeaders& caller = admitted_.caller;
  state_.log.Write(
      LogKind::kFailure, state_.Now(),
      "event=stream_origin_unknown id={} resumes={} route={} "
      "known_streams={} list_confirmed={} waited_ms={}",
      caller.attempt_id, caller.resumes.empty() ? "-" : caller.resumes,
      admitted_.route->name, state_.stream_origins.size(), list_confirmed,
      Milliseconds(state_.Now() - admitted_.request.arrived_at));
  Refuse("software version of the stream is unknown", kOriginRetryAfter);
}

}  // namespace yuccapick
