#ifndef YUCCAPICK_UTIL_DETAIL_OUTCOME_CALLERS_H_
#define YUCCAPICK_UTIL_DETAIL_OUTCOME_CALLERS_H_

/// @file
/// Simulated callers, which compare every answer with what the upstreams
/// executed.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "util/detail/outcome_faults.h"
#include "util/detail/outcome_timeline.h"
#include "yuccapick/router_events.h"

namespace yuccapick::outcome {

/// Outcome counts of one or more schedules.
struct OutcomeCounts {
  std::uint64_t runs = 0;
  std::uint64_t operations = 0;
  std::uint64_t executed_once = 0;  ///< Operations.
  std::uint64_t doubled = 0;        ///< Repeated executions of an operation.
  std::uint64_t false_not_run = 0;  ///< Executed, but reported as not run.
  std::uint64_t unknown = 0;        ///< Operations without a known outcome.
  std::uint64_t stuck = 0;  ///< Jobs not settled when the schedule ended.
  std::uint64_t wrong_answer = 0;
  std::uint64_t incomplete_as_complete = 0;
  std::uint64_t unsafe_use = 0;  ///< See `OnUnsafeUse`.
  std::uint64_t table_transactions = 0;
  std::uint64_t table_rows = 0;

  void Add(const OutcomeCounts& other);
  /// Number of violated guarantees of all kinds, without stuck jobs.
  std::uint64_t Violations() const;
};

/// Work of one caller: a plain operation or a model request.
struct Job {
  TeamId team;
  bool is_model = false;
  IdempotencyKey key;  ///< If empty, an operation is not retried.
  std::string body;    ///< Unique among the team's jobs.
  std::uint32_t executions = 0;
  std::uint32_t requests_sent = 0;
  bool settled = false;
  bool unknown = false;
};

/// Sends jobs through routers, retries them and checks the answers.
class SimulatedCallers {
 public:
  /// Sends a request to a router; false if no router is up.
  using Send = std::function<bool(const CallerRequest& request)>;

  SimulatedCallers(Timeline& timeline, const FaultSet& faults, Send send);

  // Commands.

  void Start(std::size_t jobs, microseconds within);
  /// Called when an upstream executes a request with this body.
  /// @return number of executions of the job so far
  std::uint32_t OnExecuted(const TeamId& team, const std::string& body);
  void OnAction(const BeginAnswer& action);
  void OnAction(const SendAnswerData& action);
  void OnAction(const FinishAnswer& action);
  void OnAction(const FailRequest& action);
  /// Called when the request's connection is lost or its caller times out.
  void OnConnectionLost(const RequestId& id);
  /// Called when an agent forwards an attempt after its drain, a second time,
  /// or to an engine that restarted or has other weights than requested.
  void OnUnsafeUse() { ++counts_.unsafe_use; }

  // Queries.

  bool AllSettled() const { return open_jobs_ == 0; }
  /// Returns the final counts; jobs that are not settled count as stuck.
  OutcomeCounts Finish() const;

 private:
  struct RequestRecord {
    std::size_t job = 0;
    bool open = true;
    bool not_run = false;
    bool head_received = false;
    std::string data;
  };

  void AddJob(std::size_t n, microseconds within);
  void SendRequest(std::size_t job);
  void RetryLater(std::size_t job, milliseconds after);
  void SettleJob(Job& job);
  void CheckNotRun(const Job& job, RequestRecord& record);
  RequestRecord* FindOpenRequest(const RequestId& id);

  Timeline& timeline_;
  FaultSet faults_;
  Send send_;
  std::vector<Job> jobs_;
  std::map<std::pair<TeamId, std::string>, std::size_t> by_body_;
  std::map<std::pair<TeamId, IdempotencyKey>, std::uint32_t> key_executions_;
  std::map<RequestId, RequestRecord> requests_;
  std::map<std::size_t, std::vector<RequestId>> job_requests_;
  std::uint64_t next_request_ = 1;
  std::size_t open_jobs_ = 0;
  OutcomeCounts counts_;
};

/// Returns the parts of the complete answer of a plain service.
/// @param n number of the execution, from 1
std::vector<std::string> PlainAnswer(const TeamId& team,
                                     const std::string& body, std::uint32_t n);
/// Returns the parts of the complete answer of a model engine.
std::vector<std::string> ModelAnswer(const std::string& body);

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_OUTCOME_CALLERS_H_
