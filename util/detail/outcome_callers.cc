#include "util/detail/outcome_callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace yuccapick::outcome {
namespace {

constexpr std::uint32_t kMaxTries = 60;
constexpr std::size_t kModelParts = 6;
constexpr milliseconds kRequestDeadline{3'000};
constexpr milliseconds kCallerTimeout{8'000};
constexpr milliseconds kRepeatAfter{150};
constexpr milliseconds kImpatientAfter{15};
constexpr double kModelShare = 0.25;
constexpr double kKeylessShare = 0.1;
constexpr double kSameKeyShare = 0.15;
constexpr double kImpatientShare = 0.1;
constexpr double kImpatientShareInRepeat = 0.6;
constexpr double kRepeatAfterDoneShare = 0.2;

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

void Tally::Add(const Tally& other) {
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

std::uint64_t Tally::Violations() const {
  return doubled + false_not_run + wrong_answer + incomplete_as_complete +
         unsafe_use;
}

Callers::Callers(Timeline& timeline, const FaultSet& faults, Send send)
    : timeline_(timeline), faults_(faults), send_(std::move(send)) {}

void Callers::Start(std::size_t jobs, microseconds within) {
  jobs_.reserve(jobs);
  for (std::size_t n = 0; n < jobs; ++n) AddJob(n, within);
}

void Callers::AddJob(std::size_t n, microseconds within) {
  Job job;
  job.team = TeamId(n % 2 == 0 ? "moor" : "fen");
  job.is_model = timeline_.Chance(kModelShare);
  job.body = fmt::format("body-{}", n);
  const bool shares_key = n >= 2 && timeline_.Chance(kSameKeyShare);
  if (!job.is_model && !timeline_.Chance(kKeylessShare)) {
    const std::size_t number = shares_key ? timeline_.Below(n) : n;
    job.key = IdempotencyKey(fmt::format("key-{}", number));
    // The other team may send the very same request under the same key.
    const std::string twin = fmt::format("body-{}", number);
    const bool other_team = number % 2 != n % 2;
    if (other_team && !by_body_.contains({job.team, twin})) job.body = twin;
  }
  by_body_[{job.team, job.body}] = n;
  jobs_.push_back(job);
  ++open_jobs_;
  const double share =
      Has(faults_, Fault::kRepeat) ? kImpatientShareInRepeat : kImpatientShare;
  const bool impatient = !job.key.empty() && timeline_.Chance(share);
  timeline_.After(timeline_.Between(microseconds(0), within),
                  [this, n, impatient] {
                    SendRequest(n);
                    if (impatient) RepeatLater(n, kImpatientAfter);
                  });
}

void Callers::SendRequest(std::size_t n) {
  Job& job = jobs_[n];
  if (job.tries >= kMaxTries) return;
  ++job.tries;
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
  traces_[request.id].job = n;
  requests_of_[n].push_back(request.id);
  const RequestId id = request.id;
  timeline_.After(kCallerTimeout, [this, id] { OnConnectionLost(id); });
  if (!send_(request)) OnConnectionLost(id);
}

void Callers::RepeatLater(std::size_t n, milliseconds after) {
  timeline_.After(after + timeline_.Between(microseconds(0), kRepeatAfter),
                  [this, n] {
                    if (!jobs_[n].settled) SendRequest(n);
                  });
}

Callers::Trace* Callers::Open(const RequestId& id) {
  auto it = traces_.find(id);
  if (it == traces_.end() || !it->second.open) return nullptr;
  return &it->second;
}

std::uint32_t Callers::OnExecuted(const TeamId& team, const std::string& body) {
  const std::size_t n = by_body_.at({team, body});
  Job& job = jobs_[n];
  ++job.executions;
  if (job.is_model) return job.executions;
  std::uint32_t runs = job.executions;
  if (!job.key.empty()) runs = ++key_runs_[{job.team, job.key}];
  if (runs > 1) ++tally_.doubled;
  const std::vector<RequestId>& ids = requests_of_[n];
  const bool all_not_run = std::all_of(
      ids.begin(), ids.end(),
      [this](const RequestId& id) { return traces_.at(id).not_run; });
  if (all_not_run) ++tally_.false_not_run;
  return job.executions;
}

void Callers::OnAction(const BeginAnswer& action) {
  Trace* trace = Open(action.request);
  if (trace == nullptr) return;
  if (trace->begun) ++tally_.wrong_answer;
  trace->begun = true;
}

void Callers::OnAction(const SendAnswerData& action) {
  if (Trace* trace = Open(action.request)) trace->data += action.data;
}

void Callers::OnAction(const FinishAnswer& action) {
  Trace* trace = Open(action.request);
  if (trace == nullptr) return;
  trace->open = false;
  Job& job = jobs_[trace->job];
  const std::string whole = job.is_model
                                ? Join(ModelAnswer(job.body))
                                : Join(PlainAnswer(job.team, job.body, 1));
  if (trace->data != whole) {
    const bool is_part = whole.starts_with(trace->data);
    ++(is_part ? tally_.incomplete_as_complete : tally_.wrong_answer);
  }
  const std::size_t n = trace->job;
  SettleJob(job);
  const bool repeat =
      !job.key.empty() && timeline_.Chance(kRepeatAfterDoneShare);
  if (repeat) SendRequest(n);
}

void Callers::OnAction(const FailRequest& action) {
  Trace* trace = Open(action.request);
  if (trace == nullptr) return;
  trace->open = false;
  const std::size_t n = trace->job;
  Job& job = jobs_[n];
  const Error& error = action.error;
  if (error.execution == Execution::kNotRun) JudgeNotRun(job, *trace);
  if (error.kind == ErrorKind::kKeyReused) {
    SettleJob(job);
    return;
  }
  const bool said_ran = error.execution == Execution::kRan;
  if (said_ran && job.executions == 0) ++tally_.wrong_answer;
  if (said_ran) {
    SettleJob(job);
    return;
  }
  const bool may_repeat = job.is_model || !job.key.empty() || trace->not_run;
  if (error.kind == ErrorKind::kOutcomeUnknown || !may_repeat) {
    if (!job.settled) job.unknown = true;
    SettleJob(job);
    return;
  }
  RepeatLater(n, error.retry_after.value_or(kRepeatAfter));
}

void Callers::JudgeNotRun(const Job& job, Trace& trace) {
  trace.not_run = true;
  if (!job.is_model && job.executions > 0) ++tally_.false_not_run;
}

void Callers::OnConnectionLost(const RequestId& id) {
  Trace* trace = Open(id);
  if (trace == nullptr) return;
  trace->open = false;
  const std::size_t n = trace->job;
  Job& job = jobs_[n];
  if (!job.is_model && job.key.empty()) {
    if (!job.settled) job.unknown = true;
    SettleJob(job);
    return;
  }
  RepeatLater(n, kRepeatAfter);
}

void Callers::SettleJob(Job& job) {
  if (job.settled) return;
  job.settled = true;
  --open_jobs_;
}

Tally Callers::Finish() const {
  Tally tally = tally_;
  tally.runs = 1;
  for (const Job& job : jobs_) {
    if (!job.settled) ++tally.stuck;
    if (job.is_model) continue;
    ++tally.operations;
    if (job.executions == 1) ++tally.executed_once;
    if (job.unknown) ++tally.unknown;
  }
  return tally;
}

}  // namespace yuccapick::outcome
