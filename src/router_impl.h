#ifndef YUCCAPICK_SRC_ROUTER_IMPL_H_
#define YUCCAPICK_SRC_ROUTER_IMPL_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccapick/admission.h"
#include "yuccapick/answer_assembler.h"
#include "yuccapick/placement.h"
#include "yuccapick/router_core.h"
#include "yuccapick/upstream_directory.h"

namespace yuccapick {

/// One attempt that may still bring an answer.
struct Attempt {
  AttemptId id;
  UpstreamId upstream;
  Incarnation agent_incarnation;
  Incarnation engine_incarnation;
  bool has_head = false;
  AnswerHead head;
};

/// One caller's request from admission to its final answer.
struct Flight {
  CallerRequest request;
  AdmittedRequest admitted;
  TimePoint arrived;
  TimePoint first_sent;
  std::optional<TimePoint> first_token;
  std::vector<Attempt> attempts;
  std::uint32_t attempts_made = 0;
  std::vector<UpstreamId> excluded;
  AnswerAssembler answer;
  bool begun = false;  ///< The caller has the head.
  AttemptId resume_attempt;
  std::optional<UpstreamId> resume_upstream;
  PlacementRequest placement;
  Usage usage;
};

/// The stages of `RouterCore`, joined by the flights they work on.
class RouterCore::Impl {
 public:
  explicit Impl(RouterCoreOptions options);

  RouterActions Handle(const RouterEvent& event, TimePoint now);
  bool Ready() const;

 private:
  // Requests: router_requests.cc.
  void On(const RequestArrived& event);
  void On(const CallerGone& event);
  void Dispatch(Flight& flight);
  std::optional<Attempt> Choose(Flight& flight);
  void Send(Flight& flight, Attempt attempt);
  AttemptRequest MakeAttempt(const Flight& flight,
                             const Attempt& attempt) const;

  // Answers: router_answers.cc.
  void On(const AnswerHeadArrived& event);
  void On(const AnswerChunkArrived& event);
  void On(const AnswerEndArrived& event);
  void On(const AttemptFailedArrived& event);
  void On(const AttemptLost& event);
  void Begin(Flight& flight, const Attempt& attempt);
  void Resume(Flight& flight, const AttemptId& attempt);
  void OnAttemptOver(Flight& flight, const AttemptId& id, const Error& error);
  void Retry(Flight& flight, const Error& error);

  // Life: router_core.cc.
  void On(const ReportArrived& event);
  void On(const UpstreamChanged& event);
  void On(const ConfigChanged& event);
  void On(const TableCommitted& event);
  void On(const TableRead& event);
  void On(const DrainRequested& event);
  void On(const Tick& event);

  // Shared by the stages: router_core.cc.
  Flight* FlightOf(const AttemptId& attempt, const UpstreamId& upstream);
  void Complete(Flight& flight);
  void Fail(Flight& flight, const Error& error);
  void Forget(Flight& flight, bool complete, const Error& error);
  void DropAttempt(Flight& flight, const AttemptId& attempt);
  void CancelAttempts(Flight& flight);
  void CheckDrained();
  void ExpireFlights();
  void ScheduleWake();

  RouterCoreOptions options_;
  TimePoint now_;
  RouterActions actions_;
  ConfigPtr config_;
  UpstreamDirectory upstreams_;
  Placement placement_;
  std::map<RequestId, Flight> flights_;
  std::map<AttemptId, RequestId> attempt_owners_;
  std::uint64_t attempts_started_ = 0;
  std::optional<TimePoint> drain_deadline_;
  bool drain_reported_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SRC_ROUTER_IMPL_H_
