#include <fmt/format.h>

#include "easylogging++.h"
#include "shell/control_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kListPollInterval{1'000};

std::string_view UpstreamStateName(UpstreamState state) {
  switch (state) {
    case UpstreamState::kLive:
      return "live";
    case UpstreamState::kSuspect:
      return "suspect";
    case UpstreamState::kLeaving:
      return "leaving";
    case UpstreamState::kGone:
      return "gone";
  }
  return "";
}

UpstreamKind KindOf(InstanceKind kind) {
  if (kind == InstanceKind::kPlainService) return UpstreamKind::kPlainService;
  if (kind == InstanceKind::kKvStore) return UpstreamKind::kKvStore;
  return UpstreamKind::kModelEngine;
}

ListedUpstream ToListed(const InstanceEntry& entry) {
  ListedUpstream listed;
  listed.info.id = UpstreamId(entry.id.value);
  listed.info.kind = KindOf(entry.kind);
  listed.info.domain = entry.domain;
  listed.info.region = entry.region;
  listed.info.agent_host = entry.host;
  listed.info.agent_port = entry.port;
  listed.info.services = entry.services;
  listed.leaving = entry.leaving;
  return listed;
}

}  // namespace

void ControlLoop::Impl::PollInstanceList() {
  if (polling_list_ || options_.settings.platform.instances_url.empty()) {
    return;
  }
  polling_list_ = true;
  next_list_poll_ = Clock::now() + Jittered(kListPollInterval);
  instances_->List([weak = weak_from_this()](
                       absl::StatusOr<std::vector<InstanceEntry>> list) {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->polling_list_ = false;
    if (list.ok()) self->OnInstanceList(*list);
  });
}

void ControlLoop::Impl::OnInstanceList(const std::vector<InstanceEntry>& list) {
  std::vector<InstanceId> members;
  std::vector<ListedUpstream> upstreams;
  endpoints_.clear();
  for (const InstanceEntry& entry : list) {
    endpoints_[entry.id] = {entry.host, entry.port};
    if (!entry.leaving) members.push_back(entry.id);
    if (entry.kind != InstanceKind::kRouter) {
      upstreams.push_back(ToListed(entry));
    }
  }
  if (members != tree_.members()) tree_ = DistributionTree(members);
  if (options_.role != ControlRole::kRouter) return;
  EmitUpstreams(membership_.OnList(upstreams, Clock::now()));
}

void ControlLoop::Impl::OnReport(const AgentReport& report) {
  EmitUpstreams(membership_.OnReport(report, Clock::now()));
  sync_.OnPeerVersion(report.config);
  PushToOutdatedAgent(report);
}

void ControlLoop::Impl::EmitUpstreams(
    const std::vector<UpstreamInfo>& changed) {
  for (const UpstreamInfo& upstream : changed) {
    LOG(INFO) << "event=upstream_changed upstream=" << upstream.id.value
              << " life=" << UpstreamStateName(upstream.state)
              << " incarnation=" << upstream.agent_incarnation.value;
    if (upstream.state == UpstreamState::kGone) pushed_at_.erase(upstream.id);
    Emit(UpstreamChanged{upstream});
  }
}

}  // namespace yuccapick
