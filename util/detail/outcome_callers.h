#ifndef YUCCAPICK_UTIL_DETAIL_OUTCOME_CALLERS_H_
#define YUCCAPICK_UTIL_DETAIL_OUTCOME_CALLERS_H_

/// @file
/// Callers of a schedule, and the check of every answer against what ran.

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

/// Counts of one or more schedules.
struct Tally {
  std::uint64_t runs = 0;
  std::uint64_t operations = 0;
  std::uint64_t executed_once = 0;
  std::uint64_t doubled = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t stuck = 0;
  std::uint64_t wrong_answer = 0;
  std::uint64_t incomplete_as_complete = 0;
  std::uint64_t unsafe_use = 0;  ///< Dead cache, other weights, late work.
  std::uint64_t table_transactions = 0;
  std::uint64_t table_rows = 0;

  void Add(const Tally& other);
  /// Broken promises of every kind.
  std::uint64_t Violations() const;
};

/// What one caller wants done: an operation or a model answer.
struct Job {
  TeamId team;
  bool is_model = false;
  IdempotencyKey key;  ///< Empty: the caller cannot repeat.
  std::string body;    ///< Unique over the jobs of the team.
  std::uint32_t executions = 0;
  std::uint32_t tries = 0;
  bool settled = false;
  bool unknown = false;
};

/// Sends jobs through routers, repeats them and judges the answers.
class Callers {
 public:
  /// Hands a request to some router; false if none takes it.
  using Send = std::function<bool(const CallerRequest& request)>;

  Callers(Timeline& timeline, const FaultSet& faults, Send send);

  // Commands.

  void Start(std::size_t jobs, microseconds within);
  /// The upstream executes a call with this body.
  /// @return number of executions of the job up to now
  std::uint32_t OnExecuted(const TeamId& team, const std::string& body);
  void OnAction(const BeginAnswer& action);
  void OnAction(const SendAnswerData& action);
  void OnAction(const FinishAnswer& action);
  void OnAction(const FailRequest& action);
  /// The connection of the request broke.
  void OnConnectionLost(const RequestId& id);
  void OnUnsafeUse() { ++tally_.unsafe_use; }

  // Queries.

  bool AllSettled() const { return open_jobs_ == 0; }
  /// Final counts; every job that is not settled is stuck.
  Tally Finish() const;

 private:
  struct Trace {
    std::size_t job = 0;
    bool open = true;
    bool not_run = false;
    bool begun = false;
    std::string data;
  };

  void AddJob(std::size_t n, microseconds within);
  void SendRequest(std::size_t job);
  void RepeatLater(std::size_t job, milliseconds after);
  void SettleJob(Job& job);
  void JudgeNotRun(const Job& job, Trace& trace);
  Trace* Open(const RequestId& id);

  Timeline& timeline_;
  FaultSet faults_;
  Send send_;
  std::vector<Job> jobs_;
  std::map<std::pair<TeamId, std::string>, std::size_t> by_body_;
  std::map<std::pair<TeamId, IdempotencyKey>, std::uint32_t> key_runs_;
  std::map<RequestId, Trace> traces_;
  std::map<std::size_t, std::vector<RequestId>> requests_of_;
  std::uint64_t next_request_ = 1;
  std::size_t open_jobs_ = 0;
  Tally tally_;
};

/// Parts of the whole answer to a job.
std::vector<std::string> PlainAnswer(const TeamId& team,
                                     const std::string& body, std::uint32_t n);
std::vector<std::string> ModelAnswer(const std::string& body);

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_OUTCOME_CALLERS_H_
