#include <utility>

#include "util/detail/outcome_world.h"

namespace yuccapick::outcome {
namespace {

constexpr microseconds kFastest{300};
constexpr microseconds kSlowest{3'000};
constexpr microseconds kLatest{1'500'000};
constexpr std::chrono::seconds kNewWorkGrace{3};
constexpr double kLateShare = 0.1;
constexpr double kDuplicateShare = 0.2;
constexpr double kLossShare = 0.1;
constexpr double kCrossShare = 0.2;
constexpr double kBreakShare = 0.15;

}  // namespace

microseconds World::NetworkDelay() {
  const bool late =
      Has(faults_, Fault::kLateMessage) && timeline_.Chance(kLateShare);
  return timeline_.Between(kFastest, late ? kLatest : kSlowest);
}

void World::Do(std::size_t router, const RouterAction& action) {
  const std::uint64_t life = routers_[router].life;
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    SendAttemptUp(router, *send);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    auto it = streams_.find(cancel->attempt);
    if (it == streams_.end()) return;
    timeline_.After(NetworkDelay(),
                    [this, stream = it->second, attempt = cancel->attempt] {
                      ToAgent(stream.agent, stream.agent_life,
                              AttemptAbandoned{attempt, false});
                    });
  } else if (const auto* begin = std::get_if<BeginAnswer>(&action)) {
    callers_.OnAction(*begin);
  } else if (const auto* data = std::get_if<SendAnswerData>(&action)) {
    callers_.OnAction(*data);
  } else if (const auto* finish = std::get_if<FinishAnswer>(&action)) {
    callers_.OnAction(*finish);
  } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
    callers_.OnAction(*fail);
  } else if (const auto* wake = std::get_if<WakeAt>(&action)) {
    WakeRouter(router, wake->when);
  } else if (const auto* commit = std::get_if<CommitTable>(&action)) {
    table_.Commit(
        commit->transaction,
        [this, router, life, command = commit->command](CommitResult result) {
          ToRouter(router, life, TableCommitted{command, std::move(result)});
        });
  } else if (const auto* read = std::get_if<ReadTable>(&action)) {
    table_.Read(read->keys, [this, router, life, command = read->command](
                                bool available, std::vector<TableRow> rows) {
      ToRouter(router, life, TableRead{command, available, std::move(rows)});
    });
  }
}

void World::SendAttemptUp(std::size_t router, const SendAttempt& action) {
  std::size_t n = 0;
  while (agents_[n].info.id != action.upstream) ++n;
  const AttemptId attempt = action.request.attempt;
  Stream stream{router, routers_[router].life, n, agents_[n].life, {}};
  const std::uint64_t life = stream.router_life;
  if (!agents_[n].up) {
    timeline_.After(NetworkDelay(), [this, router, life, attempt, n] {
      ToRouter(router, life, AttemptLost{agents_[n].info.id, attempt, false});
    });
    return;
  }
  streams_[attempt] = stream;
  timeline_.After(NetworkDelay(),
                  [this, request = action.request] { Arrive(request); });
  if (Has(faults_, Fault::kDuplicate) && timeline_.Chance(kDuplicateShare)) {
    timeline_.After(timeline_.Between(kFastest, kLatest),
                    [this, request = action.request] { Arrive(request); });
  }
  if (Has(faults_, Fault::kLinkBreak) && timeline_.Chance(kBreakShare)) {
    timeline_.After(timeline_.Between(microseconds(0), 10 * kSlowest),
                    [this, attempt] { BreakStream(attempt); });
  }
}

void World::Arrive(const AttemptRequest& request) {
  auto it = streams_.find(request.attempt);
  if (it == streams_.end()) return;
  ToAgent(it->second.agent, it->second.agent_life, AttemptArrived{request});
}

void World::BreakStream(const AttemptId& attempt) {
  auto it = streams_.find(attempt);
  if (it == streams_.end()) return;
  const Stream stream = it->second;
  // What was sent before the break may still arrive.
  if (timeline_.Chance(0.5)) streams_.erase(it);
  ToAgent(stream.agent, stream.agent_life, AttemptAbandoned{attempt, true});
  ToRouter(stream.router, stream.router_life,
           AttemptLost{agents_[stream.agent].info.id, attempt, true});
}

void World::Do(std::size_t agent, const AgentAction& action) {
  if (const auto* forward = std::get_if<ForwardAttempt>(&action)) {
    Forward(agent, *forward);
  } else if (const auto* cancel = std::get_if<CancelUpstream>(&action)) {
    agents_[agent].upstream->Cancel(cancel->attempt);
  } else if (const auto* wake = std::get_if<WakeAt>(&action)) {
    WakeAgent(agent, wake->when);
  } else if (const auto* report = std::get_if<PushReport>(&action)) {
    for (std::size_t n = 0; n < routers_.size(); ++n) {
      timeline_.After(NetworkDelay(), [this, n, life = routers_[n].life,
                                       report = report->report] {
        ToRouter(n, life, ReportArrived{report});
      });
    }
  } else if (const auto* head = std::get_if<ReplyHead>(&action)) {
    Reply(head->head.attempt,
          AnswerHeadArrived{agents_[agent].info.id, head->head}, true);
  } else if (const auto* chunk = std::get_if<ReplyChunk>(&action)) {
    Reply(chunk->chunk.attempt,
          AnswerChunkArrived{agents_[agent].info.id, chunk->chunk}, true);
  } else if (const auto* end = std::get_if<ReplyEnd>(&action)) {
    Reply(end->end.attempt, AnswerEndArrived{agents_[agent].info.id, end->end},
          false);
  } else if (const auto* failed = std::get_if<ReplyFailed>(&action)) {
    Reply(failed->failure.attempt,
          AttemptFailedArrived{agents_[agent].info.id, failed->failure}, false);
  }
}

void World::Forward(std::size_t n, const ForwardAttempt& action) {
  Agent& agent = agents_[n];
  const AttemptRequest& request = action.request;
  const bool is_model = agent.info.kind == UpstreamKind::kModelEngine;
  const bool dead_cache =
      is_model && request.engine_incarnation.value != 0 &&
      request.engine_incarnation != agent.core->Upstream().engine_incarnation;
  const bool other_weights =
      is_model && request.weights != agent.info.loaded.front().weights;
  const bool late_work =
      agent.left && timeline_.now() > *agent.left + kNewWorkGrace;
  const bool copied = !forwarded_.insert(request.attempt).second;
  if (dead_cache || other_weights || late_work || copied) {
    callers_.OnUnsafeUse();
  }
  timeline_.After(NetworkDelay(), [this, n, life = agent.life, request] {
    if (agents_[n].life == life) agents_[n].upstream->Execute(request);
  });
}

void World::Reply(const AttemptId& attempt, const RouterEvent& event,
                  bool is_part) {
  auto it = streams_.find(attempt);
  if (it == streams_.end()) return;
  Stream& stream = it->second;
  const std::size_t router = stream.router;
  const std::uint64_t life = stream.router_life;
  const bool lost = is_part && Has(faults_, Fault::kChunkLoss) &&
                    timeline_.Chance(kLossShare);
  if (lost) return;
  const auto deliver = [this, router, life, event] {
    ToRouter(router, life, event);
  };
  TimePoint when = timeline_.now() + NetworkDelay();
  const bool ordered = !Has(faults_, Fault::kLateMessage);
  if (ordered) when = std::max(when, stream.next_down);
  stream.next_down = when;
  timeline_.At(when, deliver);
  if (Has(faults_, Fault::kDuplicate) && timeline_.Chance(kDuplicateShare)) {
    timeline_.After(timeline_.Between(kFastest, kLatest), deliver);
  }
  const bool crossed = is_part && Has(faults_, Fault::kCrossAnswer) &&
                       timeline_.Chance(kCrossShare);
  if (!crossed) return;
  RouterEvent wrong = event;
  if (auto* chunk = std::get_if<AnswerChunkArrived>(&wrong)) {
    chunk->upstream = agents_[(stream.agent + 1) % agents_.size()].info.id;
    chunk->chunk.data = "of another request ";
  }
  timeline_.At(when - microseconds(1),
               [this, router, life, wrong] { ToRouter(router, life, wrong); });
}

}  // namespace yuccapick::outcome
