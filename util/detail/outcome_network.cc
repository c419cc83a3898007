#include <utility>

#include "util/detail/outcome_simulation.h"

namespace yuccapick::outcome {
namespace {

constexpr microseconds kMinDelay{300};
constexpr microseconds kMaxDelay{3'000};
constexpr microseconds kMaxLateDelay{1'500'000};
constexpr std::chrono::seconds kDrainGracePeriod{3};
constexpr double kLateProbability = 0.1;
constexpr double kDuplicateProbability = 0.2;
constexpr double kLossProbability = 0.1;
constexpr double kCrossAnswerProbability = 0.2;
constexpr double kLinkBreakProbability = 0.15;

}  // namespace

microseconds ScheduleSimulation::NetworkDelay() {
  const bool late = Has(faults_, Fault::kLateMessage) &&
                    timeline_.RandomChance(kLateProbability);
  return timeline_.RandomBetween(kMinDelay, late ? kMaxLateDelay : kMaxDelay);
}

void ScheduleSimulation::HandleAction(std::size_t router,
                                      const RouterAction& action) {
  const std::uint64_t incarnation = routers_[router].incarnation;
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    SendAttemptToAgent(router, *send);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    auto it = streams_.find(cancel->attempt);
    if (it == streams_.end()) return;
    timeline_.After(NetworkDelay(),
                    [this, stream = it->second, attempt = cancel->attempt] {
                      DeliverToAgent(stream.agent, stream.agent_incarnation,
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
    table_.Commit(commit->transaction,
                  [this, router, incarnation,
                   command = commit->command](CommitResult result) {
                    DeliverToRouter(router, incarnation,
                                    TableCommitted{command, std::move(result)});
                  });
  } else if (const auto* read = std::get_if<ReadTable>(&action)) {
    table_.Read(
        read->keys, [this, router, incarnation, command = read->command](
                        bool available, std::vector<TableRow> rows) {
          DeliverToRouter(router, incarnation,
                          TableRead{command, available, std::move(rows)});
        });
  }
}

void ScheduleSimulation::SendAttemptToAgent(std::size_t router,
                                            const SendAttempt& action) {
  std::size_t n = 0;
  while (agents_[n].info.id != action.upstream) ++n;
  const AttemptId attempt = action.request.attempt;
  Stream stream{
      router, routers_[router].incarnation, n, agents_[n].incarnation, {}};
  const std::uint64_t incarnation = stream.router_incarnation;
  if (!agents_[n].up) {
    timeline_.After(NetworkDelay(), [this, router, incarnation, attempt, n] {
      DeliverToRouter(router, incarnation,
                      AttemptLost{agents_[n].info.id, attempt, false});
    });
    return;
  }
  streams_[attempt] = stream;
  timeline_.After(NetworkDelay(), [this, request = action.request] {
    DeliverAttempt(request);
  });
  if (Has(faults_, Fault::kDuplicate) &&
      timeline_.RandomChance(kDuplicateProbability)) {
    timeline_.After(
        timeline_.RandomBetween(kMinDelay, kMaxLateDelay),
        [this, request = action.request] { DeliverAttempt(request); });
  }
  if (Has(faults_, Fault::kLinkBreak) &&
      timeline_.RandomChance(kLinkBreakProbability)) {
    timeline_.After(timeline_.RandomBetween(microseconds(0), 10 * kMaxDelay),
                    [this, attempt] { BreakStream(attempt); });
  }
}

void ScheduleSimulation::DeliverAttempt(const AttemptRequest& request) {
  auto it = streams_.find(request.attempt);
  if (it == streams_.end()) return;
  DeliverToAgent(it->second.agent, it->second.agent_incarnation,
                 AttemptArrived{request});
}

void ScheduleSimulation::BreakStream(const AttemptId& attempt) {
  auto it = streams_.find(attempt);
  if (it == streams_.end()) return;
  const Stream stream = it->second;
  // Messages sent before the break may still arrive.
  if (timeline_.RandomChance(0.5)) streams_.erase(it);
  DeliverToAgent(stream.agent, stream.agent_incarnation,
                 AttemptAbandoned{attempt, true});
  DeliverToRouter(stream.router, stream.router_incarnation,
                  AttemptLost{agents_[stream.agent].info.id, attempt, true});
}

void ScheduleSimulation::HandleAction(std::size_t agent,
                                      const AgentAction& action) {
  if (const auto* forward = std::get_if<ForwardAttempt>(&action)) {
    ForwardToUpstream(agent, *forward);
  } else if (const auto* cancel = std::get_if<CancelUpstream>(&action)) {
    agents_[agent].upstream->Cancel(cancel->attempt);
  } else if (const auto* wake = std::get_if<WakeAt>(&action)) {
    WakeAgent(agent, wake->when);
  } else if (const auto* report = std::get_if<PushReport>(&action)) {
    for (std::size_t n = 0; n < routers_.size(); ++n) {
      timeline_.After(NetworkDelay(),
                      [this, n, incarnation = routers_[n].incarnation,
                       report = report->report] {
                        DeliverToRouter(n, incarnation, ReportArrived{report});
                      });
    }
  } else if (const auto* head = std::get_if<ReplyHead>(&action)) {
    SendReply(head->head.attempt,
              AnswerHeadArrived{agents_[agent].info.id, head->head}, true);
  } else if (const auto* chunk = std::get_if<ReplyChunk>(&action)) {
    SendReply(chunk->chunk.attempt,
              AnswerChunkArrived{agents_[agent].info.id, chunk->chunk}, true);
  } else if (const auto* end = std::get_if<ReplyEnd>(&action)) {
    SendReply(end->end.attempt,
              AnswerEndArrived{agents_[agent].info.id, end->end}, false);
  } else if (const auto* failed = std::get_if<ReplyFailed>(&action)) {
    SendReply(failed->failure.attempt,
              AttemptFailedArrived{agents_[agent].info.id, failed->failure},
              false);
  }
}

void ScheduleSimulation::ForwardToUpstream(std::size_t n,
                                           const ForwardAttempt& action) {
  Agent& agent = agents_[n];
  const AttemptRequest& request = action.request;
  const bool is_model = agent.info.kind == UpstreamKind::kModelEngine;
  const bool dead_cache =
      is_model && request.engine_incarnation.value != 0 &&
      request.engine_incarnation != agent.core->Upstream().engine_incarnation;
  const bool other_weights =
      is_model && request.weights != agent.info.loaded.front().weights;
  const bool work_after_drain =
      agent.drain_requested_at &&
      timeline_.now() > *agent.drain_requested_at + kDrainGracePeriod;
  const bool duplicate = !forwarded_.insert(request.attempt).second;
  if (dead_cache || other_weights || work_after_drain || duplicate) {
    callers_.OnUnsafeUse();
  }
  timeline_.After(NetworkDelay(),
                  [this, n, incarnation = agent.incarnation, request] {
                    if (agents_[n].incarnation == incarnation) {
                      agents_[n].upstream->Execute(request);
                    }
                  });
}

void ScheduleSimulation::SendReply(const AttemptId& attempt,
                                   const RouterEvent& event, bool is_part) {
  auto it = streams_.find(attempt);
  if (it == streams_.end()) return;
  Stream& stream = it->second;
  const std::size_t router = stream.router;
  const std::uint64_t incarnation = stream.router_incarnation;
  const bool lost = is_part && Has(faults_, Fault::kChunkLoss) &&
                    timeline_.RandomChance(kLossProbability);
  if (lost) return;
  const auto deliver = [this, router, incarnation, event] {
    DeliverToRouter(router, incarnation, event);
  };
  TimePoint when = timeline_.now() + NetworkDelay();
  const bool ordered = !Has(faults_, Fault::kLateMessage);
  if (ordered) when = std::max(when, stream.next_delivery);
  stream.next_delivery = when;
  timeline_.At(when, deliver);
  if (Has(faults_, Fault::kDuplicate) &&
      timeline_.RandomChance(kDuplicateProbability)) {
    timeline_.After(timeline_.RandomBetween(kMinDelay, kMaxLateDelay), deliver);
  }
  const bool crossed = is_part && Has(faults_, Fault::kCrossAnswer) &&
                       timeline_.RandomChance(kCrossAnswerProbability);
  if (!crossed) return;
  RouterEvent misdelivered = event;
  if (auto* chunk = std::get_if<AnswerChunkArrived>(&misdelivered)) {
    chunk->upstream = agents_[(stream.agent + 1) % agents_.size()].info.id;
    chunk->chunk.data = "of another request ";
  }
  timeline_.At(when - microseconds(1),
               [this, router, incarnation, misdelivered] {
                 DeliverToRouter(router, incarnation, misdelivered);
               });
}

}  // namespace yuccapick::outcome
