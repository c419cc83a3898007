#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <string>

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

bool ProxiedRequest::IsSplit() const {
  return admitted_.route->targets.size() > 1;
}

ProxiedRequest::OriginSearch ProxiedRequest::FindStreamOrigin(
    const OriginEvidence& evidence) {
  const CallerHeaders& caller = admitted_.caller;
  if (admitted_.route->kind != RouteKind::kStreaming) {
    return OriginSearch::kFound;
  }
  if (caller.resumes.empty() && !caller.last_event_id) {
    return OriginSearch::kFound;
  }
  auto origin = state_.stream_origins.Find(StreamIdOf(caller.resumes));
  const char* source = "known";
  if (!origin && !IsSplit()) {
    origin = state_.OnlyOrigin(service_);
    source = "only_version";
    const bool may_be_only = state_.PossibleOrigins(service_).size() <= 1;
    if (may_be_only && !evidence.list_confirmed) {
      return OriginSearch::kUnconfirmed;
    }
    // A version that began no streams by its age may have begun some while no
    // other served. The store has their origins.
    const bool mixed = state_.stream_origins.IsMixed(service_, state_.Now());
    if (mixed && !evidence.looked_up) return OriginSearch::kUnknown;
  }
  if (!origin || !IsTarget(*admitted_.route, origin->service)) {
    return OriginSearch::kUnknown;
  }
  service_ = origin->service;
  stream_software_ = origin->software;
  LogOrigin(source);
  return OriginSearch::kFound;
}

void ProxiedRequest::LogOrigin(const char* source) {
  const CallerHeaders& caller = admitted_.caller;
  state_.log.Write(
      LogKind::kRequest, state_.Now(),
      "event=stream_origin id={} resumes={} service={} software={} source={} "
      "waited_ms={} listed={}",
      caller.attempt_id, caller.resumes.empty() ? "-" : caller.resumes,
      service_.value, stream_software_->value, source,
      Milliseconds(state_.Now() - admitted_.request.arrived_at),
      DescribeListed());
}

std::string ProxiedRequest::DescribeListed() const {
  const std::optional<StoreTime> at = state_.StoreAnsweredAt();
  std::string text;
  for (const SoftwareGroup& it :
       state_.stream_origins.ListedOf(service_, state_.Now())) {
    const auto age = state_.version_record.AgeOf(it, at);
    text += fmt::format("{}{}:{}", text.empty() ? "" : ",", it.software.value,
                        age ? age->count() : -1);
  }
  return text.empty() ? "-" : text;
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
  const OriginSearch search = FindStreamOrigin({confirmed, false});
  if (search != OriginSearch::kFound) return LookUpStreamOrigin(confirmed);
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
  if (FindStreamOrigin({list_confirmed, true}) == OriginSearch::kFound) {
    return Place();
  }
  // While the record may lack rows, gateways that know the origin may not have
  // saved it again.
  const TimePoint now = state_.Now();
  const bool complete = state_.stream_origins.KnowsHistory(now);
  const bool needs_exact = IsSplit() || !state_.OnlyOrigin(service_);
  const bool lost = complete && needs_exact &&
                    state_.is_stream_origin_lost(StreamIdOf(caller.resumes));
  return lost ? RefuseLostStream() : RefuseUnknownStream(list_confirmed);
}

void ProxiedRequest::RefuseLostStream() {
  ++state_.unknown_stream_origins;
  ++state_.lost_stream_origins;
  const CallerHeaders& caller = admitted_.caller;
  state_.log.Write(LogKind::kFailure, state_.Now(),
                   "event=stream_origin_lost id={} resumes={} route={} "
                   "known_streams={} listed={}",
                   caller.attempt_id, caller.resumes, admitted_.route->name,
                   state_.stream_origins.size(), DescribeListed());
  session_->Respond(kHttpGone, {}, "not run\n");
  Finish("refused", kHttpGone, "software version of the stream is lost");
}

void ProxiedRequest::RefuseUnknownStream(bool list_confirmed) {
  ++state_.unknown_stream_origins;
  const CallerHeaders& caller = admitted_.caller;
  state_.log.Write(
      LogKind::kFailure, state_.Now(),
      "event=stream_origin_unknown id={} resumes={} route={} "
      "known_streams={} list_confirmed={} waited_ms={} listed={}",
      caller.attempt_id, caller.resumes.empty() ? "-" : caller.resumes,
      admitted_.route->name, state_.stream_origins.size(), list_confirmed,
      Milliseconds(state_.Now() - admitted_.request.arrived_at),
      DescribeListed());
  Refuse("software version of the stream is unknown", kOriginRetryAfter);
}

}  // namespace yuccapick
