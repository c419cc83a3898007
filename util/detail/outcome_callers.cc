#include "util/detail/outcome_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace yuccapick::outcome {
namespace {

constexpr std::uint32_t kMaxRequestsPerJob = 60;
constexpr std::size_t kModelParts = 6;
constexpr milliseconds kRequestDeadline{3'000};
constexpr milliseconds kCallerTimeout{8'000};
constexpr milliseconds kRetryDelay{150};
constexpr milliseconds kImpatientRetryDelay{15};
constexpr double kModelProbability = 0.25;
constexpr double kKeylessProbability = 0.1;
constexpr double kSameKeyProbability = 0.15;
constexpr double kImpatientProbability = 0.1;
constexpr double kImpatientProbabilityWithRepeatFault = 0.6;
constexpr double kRetryAfterDoneProbability = 0.2;

std::string Join(const std::vector<std::string>& parts) {
  return std::accumulate(parts.begin(), parts.end(), std::string());
}

}  // namespace

std::vector<std::string> PlainAnswer(const TeamId& team,
                                     const std::string& body, std::uint32_t n) {
  return {fmt::format("ran for {}: ", team.value), body,
          fmt::format(" as run {}", n)};
}

std::vector<std::string> ModelAnswer(const std::string& body) {
  std::vector<std::string> parts;
  for (std::size_t n = 0; n < kModelParts; ++n) {
    parts.push_back(fmt::format("{}.{} ", body, n));
  }
  return parts;
}

void OutcomeCounts::Add(const OutcomeCounts& other) {
  runs += other.runs;
  operations += other.operations;
  executed_once += other.executed_once;
  doubled += other.doubled;
  false_not_run += other.false_not_run;
  unknown += other.unknown;
  stuck += other.stuck;
  wrong_answer += other.wrong_answer;
  incomplete_as_complete += other.incomplete_as_complete;
  unsafe_use += other.unsafe_use;
  table_transactions += other.table_transactions;
  table_rows += other.table_rows;
}

std::uint64_t OutcomeCounts::Violations() const {
  return doubled + false_not_run + wrong_answer + incomplete_as_complete +
         unsafe_use;
}

SimulatedCallers::SimulatedCallers(Timeline& timeline, const FaultSet& faults,
                                   Send send)
    : timeline_(timeline), faults_(faults), send_(std::move(send)) {}

void SimulatedCallers::Start(std::size_t jobs, microseconds within) {
  jobs_.reserve(jobs);
  for (std::size_t n = 0; n < jobs; ++n) AddJob(n, within);
}

void SimulatedCallers::AddJob(std::size_t n, microseconds within) {
  Job job;
  job.team = TeamId(n % 2 == 0 ? "moor" : "fen");
  job.is_model = timeline_.RandomChance(kModelProbability);
  job.body = fmt::format("body-{}", n);
  const bool shares_key = n >= 2 && timeline_.RandomChance(kSameKeyProbability);
  if (!job.is_model && !timeline_.RandomChance(kKeylessProbability)) {
    const std::size_t number = shares_key ? timeline_.RandomBelow(n) : n;
    job.key = IdempotencyKey(fmt::format("key-{}", number));
    // The other team may send an identical request with the same key; keys are
    // scoped to a team.
    const std::string twin = fmt::format("body-{}", number);
    const bool other_team = number % 2 != n % 2;
    if (other_team && !by_body_.contains({job.team, twin})) job.body = twin;
  }
  by_body_[{job.team, job.body}] = n;
  jobs_.push_back(job);
  ++open_jobs_;
  const double share = Has(faults_, Fault::kRepeat)
                           ? kImpatientProbabilityWithRepeatFault
                           : kImpatientProbability;
  const bool impatient = !job.key.empty() && timeline_.RandomChance(share);
  timeline_.After(timeline_.RandomBetween(microseconds(0), within),
                  [this, n, impatient] {
                    SendRequest(n);
                    if (impatient) RetryLater(n, kImpatientRetryDelay);
                  });
}

void SimulatedCallers::SendRequest(std::size_t n) {
  Job& job = jobs_[n];
  if (job.requests_sent >= kMaxRequestsPerJob) return;
  ++job.requests_sent;
  CallerRequest request;
  request.id = RequestId(next_request_++);
  request.team = job.team;
  request.service = ServiceId(job.is_model ? "assistant" : "bookings");
  request.kind =
      job.is_model ? RequestKind::kChatCompletion : RequestKind::kPlain;
  if (job.is_model) request.model = ModelId("moor-8b");
  request.key = job.key;
  request.streamed = job.is_model;
  request.deadline = kRequestDeadline;
  request.levels = {"the clinic's policy", job.body};
  request.method = "POST";
  request.target = "/book";
  request.body = job.body;
  requests_[request.id].job = n;
  job_requests_[n].push_back(request.id);
  const RequestId id = request.id;
  timeline_.After(kCallerTimeout, [this, id] { OnConnectionLost(id); });
  if (!send_(request)) OnConnectionLost(id);
}

void SimulatedCallers::RetryLater(std::size_t n, milliseconds after) {
  timeline_.After(after + timeline_.RandomBetween(microseconds(0), kRetryDelay),
                  [this, n] {
                    if (!jobs_[n].settled) SendRequest(n);
                  });
}

SimulatedCallers::RequestRecord* SimulatedCallers::FindOpenRequest(
    const RequestId& id) {
  auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.open) return nullptr;
  return &it->second;
}

std::uint32_t SimulatedCallers::OnExecuted(const TeamId& team,
                                           const std::string& body) {
  const std::size_t n = by_body_.at({team, body});
  Job& job = jobs_[n];
  ++job.executions;
  if (job.is_model) return job.executions;
  std::uint32_t runs = job.executions;
  if (!job.key.empty()) runs = ++key_executions_[{job.team, job.key}];
  if (runs > 1) ++counts_.doubled;
  const std::vector<RequestId>& ids = job_requests_[n];
  const bool all_not_run = std::all_of(
      ids.begin(), ids.end(),
      [this](const RequestId& id) { return requests_.at(id).not_run; });
  if (all_not_run) ++counts_.false_not_run;
  return job.executions;
}

void SimulatedCallers::OnAction(const BeginAnswer& action) {
  RequestRecord* record = FindOpenRequest(action.request);
  if (record == nullptr) return;
  if (record->head_received) ++counts_.wrong_answer;
  record->head_received = true;
}

void SimulatedCallers::OnAction(const SendAnswerData& action) {
  if (RequestRecord* record = FindOpenRequest(action.request)) {
    record->data += action.data;
  }
}

void SimulatedCallers::OnAction(const FinishAnswer& action) {
  RequestRecord* record = FindOpenRequest(action.request);
  if (record == nullptr) return;
  record->open = false;
  Job& job = jobs_[record->job];
  const std::string whole = job.is_model
                                ? Join(ModelAnswer(job.body))
                                : Join(PlainAnswer(job.team, job.body, 1));
  if (record->data != whole) {
    const bool is_part = whole.starts_with(record->data);
    ++(is_part ? counts_.incomplete_as_complete : counts_.wrong_answer);
  }
  const std::size_t n = record->job;
  SettleJob(job);
  const bool repeat =
      !job.key.empty() && timeline_.RandomChance(kRetryAfterDoneProbability);
  if (repeat) SendRequest(n);
}

void SimulatedCallers::OnAction(const FailRequest& action) {
  RequestRecord* record = FindOpenRequest(action.request);
  if (record == nullptr) return;
  record->open = false;
  const std::size_t n = record->job;
  Job& job = jobs_[n];
  const Error& error = action.error;
  if (error.execution == Execution::kNotRun) CheckNotRun(job, *record);
  if (error.kind == ErrorKind::kKeyReused) {
    SettleJob(job);
    return;
  }
  const bool said_ran = error.execution == Execution::kRan;
  if (said_ran && job.executions == 0) ++counts_.wrong_answer;
  if (said_ran) {
    SettleJob(job);
    return;
  }
  const bool may_retry = job.is_model || !job.key.empty() || record->not_run;
  if (error.kind == ErrorKind::kOutcomeUnknown || !may_retry) {
    if (!job.settled) job.unknown = true;
    SettleJob(job);
    return;
  }
  RetryLater(n, error.retry_after.value_or(kRetryDelay));
}

void SimulatedCallers::CheckNotRun(const Job& job, RequestRecord& record) {
  record.not_run = true;
  if (!job.is_model && job.executions > 0) ++counts_.false_not_run;
}

void SimulatedCallers::OnConnectionLost(const RequestId& id) {
  RequestRecord* record = FindOpenRequest(id);
  if (record == nullptr) return;
  record->open = false;
  const std::size_t n = record->job;
  Job& job = jobs_[n];
  if (!job.is_model && job.key.empty()) {
    if (!job.settled) job.unknown = true;
    SettleJob(job);
    return;
  }
  RetryLater(n, kRetryDelay);
}

void SimulatedCallers::SettleJob(Job& job) {
  if (job.settled) return;
  job.settled = true;
  --open_jobs_;
}

OutcomeCounts SimulatedCallers::Finish() const {
  OutcomeCounts counts = counts_;
  counts.runs = 1;
  for (const Job& job : jobs_) {
    if (!job.settled) ++counts.stuck;
    if (job.is_model) continue;
    ++counts.operations;
    if (job.executions == 1) ++counts.executed_once;
    if (job.unknown) ++counts.unknown;
  }
  return counts;
}

}  // namespace yuccapick::outcome
