#ifndef YUCCAPICK_GATEWAY_PROXIED_REQUEST_H_
#define YUCCAPICK_GATEWAY_PROXIED_REQUEST_H_

/// @file
/// One caller's request from its admission to the end of its answer.

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/http_connection_pool.h"
#include "gateway/http_status.h"
#include "gateway/ingress_session.h"
#include "gateway/upstream_messages.h"
#include "yuccapick/attempt_policy.h"
#include "yuccapick/event_splitter.h"

namespace yuccapick {

/// A request that the configuration admits.
struct AdmittedProxyRequest {
  GatewayConfigPtr config;  ///< Keeps `route` and `team` alive.
  const GatewayRoute* route = nullptr;
  const GatewayTeam* team = nullptr;
  IngressRequest request;
  CallerHeaders caller;
};

/// Why a request may go to an upstream whose weights are, or are soon, too old.
enum class OverdueUse : std::uint8_t {
  kNotOverdue,
  kForbidden,
  kLastChoice,    ///< No other is left, and it can begin in time.
  kNeverInTouch,  ///< The store isn't known to have answered any gateway.
  kStoreOutage,   ///< Nobody could roll out newer weights.
  kUnknownTime,   ///< The store's time isn't known.
};

/// Returns the name of the rule for log lines.
std::string_view OverdueUseName(OverdueUse use);

/// Sends the request to one upstream after the other until it gets an answer or
/// may not be retried. Its connection keeps it alive. Used on one event loop.
class ProxiedRequest : public PendingRequest,
                       public ExchangeHandler,
                       public std::enable_shared_from_this<ProxiedRequest> {
 public:
  ProxiedRequest(GatewayState& state, AdmittedProxyRequest admitted,
                 std::shared_ptr<IngressSession> session);

  void Begin();

  void OnCallerDisconnected() override;
  void OnOutputRoom() override;
  void OnShutdown() override;
  HeadDecision OnAnswerHead(const HttpHead& head) override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnExchangeEnd(ExchangeEnd end, std::string_view reason) override;

 private:
  friend class ParkedExchangeHandler;

  /// While the gateway is stopping. Short, since another one can take the
  /// request at once.
  static constexpr std::chrono::milliseconds kStoppingRetryAfter{20};

  /// The current attempt.
  struct Attempt {
    UpstreamEntry upstream;
    Exchange exchange;  ///< Abandoned with the attempt.
    WorkAmount amount;
    TimePoint sent_at;
    TimePoint last_progress;
    std::optional<HttpHead> head;
    AnswerInfo info;
    DirectPlacementDecision choice;
    bool has_first_event = false;
    /// An earlier attempt began the caller's answer.
    bool continues = false;
    /// Reading waited for the caller, so that the upstream may have cut it.
    bool held_back = false;
    /// The upstream had no other prompt to compute, as far as known.
    bool first_in_queue = false;
    /// Prompt tokens that the upstream had to compute before.
    std::uint64_t tokens_ahead = 0;
  };

  /// An attempt whose upstream is silent, and what was read of its answer. It
  /// is kept until another upstream has taken the request, since it may still
  /// go on.
  struct ParkedAttempt {
    Attempt attempt;
    EventSplitter splitter;
    std::string answer_body;
    std::optional<TimePoint> answer_began_at;
    std::optional<double> named_limit;
    int upstream_status = 0;
    bool survival_recorded = false;
    bool streaming = false;
    /// By then an upstream that is full has rejected the request.
    TimePoint until;
  };

  /// What is known of the software version that began a resumed stream.
  enum class OriginSearch : std::uint8_t {
    kFound,  ///< Or the request resumes no stream.
    /// One software version may have begun it, as far as this gateway has read.
    kUnconfirmed,
    kUnknown,  ///< Or its service is not on the route any more.
  };

  /// What was read for a resumed stream.
  struct OriginEvidence {
    bool list_confirmed = false;  ///< All upstreams that are listed now.
    bool looked_up = false;       ///< What the store knows of its origin.
  };

  /// Refuses the request, or lets it wait, if its team's quota requires that.
  /// @return true if it may go on
  bool CheckQuota();
  void OnQuotaDecision(const QuotaDecision& decision);
  /// Returns to the team's quota what the request didn't use.
  void ReturnQuota();
  /// Continues with a request that is within its team's quota.
  void BeginAdmitted();
  ServiceId PickService();
  /// True if a stream of the route may have begun at one of several services.
  bool IsSplit() const;
  /// Binds a stream that the caller resumes to the service and the software
  /// version that began it.
  OriginSearch FindStreamOrigin(const OriginEvidence& evidence);
  /// @param source how the origin is known
  void LogOrigin(const char* source);
  /// @return the service's versions that were listed lately, with the ages of
  ///   their rows in ms, -1 for unknown ones
  std::string DescribeListed() const;
  /// Waits until all upstreams are known that are listed now.
  void AwaitListConfirmation();
  void OnListConfirmation(bool confirmed);
  /// Waits until what the store knows of the stream's origin was read.
  /// @param list_confirmed see `OriginEvidence`
  void LookUpStreamOrigin(bool list_confirmed);
  void OnOriginLookedUp(bool list_confirmed);
  void RefuseUnknownStream(bool list_confirmed);
  /// Refuses a stream whose origin nobody will ever know.
  void RefuseLostStream();
  /// Places and sends the request.
  void Place();
  PlacementFleet Fleet() const;
  /// True for a request that begins a stream which can be resumed.
  bool BeginsResumableStream() const;
  /// Returns the upstreams of the service to which the request may be sent by
  /// their software version.
  std::vector<const UpstreamEntry*> UsableBySoftware() const;
  PlacementFleet FleetWithoutCandidates() const;
  /// Keeps the request from engines that load weights or are paused after
  /// failures, while sound ones only lack room: they would reject it.
  void HoldBackLastResorts(std::vector<PlacementCandidate>& candidates) const;
  PlacementCandidate CandidateFor(const UpstreamEntry& upstream) const;
  /// True if the upstream's weights are, or are soon, too old for requests.
  bool IsOverdue(const UpstreamEntry& upstream) const;
  /// Time until the upstream's limit lets this gateway send it a request.
  std::chrono::milliseconds WaitForLimit(const UpstreamEntry& upstream) const;
  std::chrono::milliseconds WaitFor(const UpstreamEntry& upstream) const;
  /// Time until an upstream that is held back may get a request; nullopt if
  /// none is.
  std::optional<std::chrono::milliseconds> TimeUntilRoom() const;
  /// Ends the request if no upstream may get it.
  void OnNoUpstream(TimePoint now);
  /// True if an answer that names no request may be a late one to an earlier
  /// request on the same connection.
  bool MayAnswerEarlierRequest(const HttpHead& head) const;
  /// Learns whether the upstream names a limit.
  void RecordLimit(const AnswerInfo& info);
  /// Learns whether the upstream asks for a pause.
  void RecordPause(const AnswerInfo& info);
  bool HasUntriedUpstream() const;
  /// Keeps the request from upstreams that it wasn't sent to.
  void ExcludeAllButSilentUpstreams();
  /// Lets the request return to upstreams that were given up for silence, since
  /// they may be sound.
  void ReadmitSilentUpstreams();
  /// The shared parts of the prompt within the scopes of the newest weights
  /// that upstreams have. Empty if they are too short to look for.
  std::vector<PartChain> ChainsToFind() const;
  /// Asks the gateways that know which engines hold the prompt's shared parts,
  /// and sends the request when they answer or some milliseconds have passed.
  /// @return false if there is nobody to ask
  bool AwaitHolders();
  void OnHoldersLearned();
  void SendAfterQueries();
  /// Tells the parts' owner that the upstream computes, or has cached, them.
  void TellPartOwner(const PartChain& chain, const UpstreamId& upstream,
                     bool pending) const;
  /// Tells peers that the parts are in a KV store.
  void TellExport(const PartChain& chain, const std::string& store) const;
  void TrySend();
  /// True if the process will probably end before an attempt that begins now.
  bool StopsBeforeAnswer(TimePoint now) const;
  void Send(const DirectPlacementDecision& choice,
            const UpstreamEntry& upstream);
  AttemptHeaders MakeAttemptHeaders(const DirectPlacementDecision& choice,
                                    const UpstreamEntry& upstream) const;
  std::optional<WeightVersionNumber> WeightsAt(
      const UpstreamEntry& upstream) const;
  /// How long ago the upstream's weights were replaced; 0 if they were not.
  std::chrono::milliseconds WeightsReplacedFor(
      const UpstreamEntry& upstream) const;
  int Urgency() const;
  /// The urgency that the upstream is told.
  int AttemptUrgency() const;

  void ArmTimer();
  void OnTimer();
  /// True if the request may be sent only to engines that have room for it.
  bool NeedsRoom(const PlacementFleet& fleet) const;
  std::uint64_t KvTokensNeeded() const;
  /// True if room lacks and the request's team has had more than its share.
  bool ExceedsFairShare() const;
  RoomDemand MakeRoomDemand() const;
  EngineCapacity CapacityOf(const UpstreamEntry& upstream,
                            const PlacementFleet& fleet) const;
  /// Lets the request wait, or refuses it, if engines have no room for it.
  /// @return false if room isn't what it lacks
  bool AwaitRoom(TimePoint now);
  /// @return true if the request still waits
  bool TryAgainForRoom();
  void OnRoomTimeout();
  std::chrono::milliseconds TimeUntilEngineFits() const;
  /// @param expected time until an engine has room
  void RefuseForRoom(std::chrono::milliseconds expected,
                     std::chrono::milliseconds waited, TimePoint now);
  void RecordTeamWork(const DirectPlacementDecision& choice, TimePoint now);
  /// How long before its weights become too old an upstream gets no requests.
  std::chrono::milliseconds StaleWeightsMargin() const;
  /// Which rule lets an upstream with these weights, which are or soon become
  /// too old, get the request if no other is left.
  OverdueUse UseOfOverdueWeights(WeightVersionNumber weights) const;
  /// How long an attempt's upstream may send nothing before it counts as
  /// silent.
  std::chrono::milliseconds SilenceTimeout(const Attempt& attempt) const;
  /// When the current attempt's upstream counts as silent; nullopt if the
  /// request may not be repeated.
  std::optional<TimePoint> SilentAt() const;
  /// True if the upstream may not have begun with the attempt.
  bool WaitsToBegin() const;
  /// How long an attempt waits until it looks for new target weights.
  std::chrono::milliseconds WeightsCheckDelay() const;
  /// When the attempt's weights become too old for its answer to begin; nullopt
  /// if they don't or it has begun.
  std::optional<TimePoint> WeightsExpireAt() const;
  void GiveUpOldWeights();
  /// Sends the request elsewhere while the silent attempt is parked.
  /// @return false if it must wait for its upstream
  bool TryHandOver(TimePoint now);
  void ParkAttempt(TimePoint now);
  /// Lets logs and placement know what attempt is under way.
  void NameCurrentAttempt();
  /// Ends the current attempt, if there is one, and goes on with the parked
  /// one.
  void ResumeParked(std::string_view reason);
  /// The other upstream has had the time to reject the request.
  void OnParkedTimeout(TimePoint now);
  /// The connection of the parked attempt has ended.
  void OnParkedBroken(std::string_view reason);
  /// Another upstream has taken the request.
  void GiveUpParked();
  void DropParked();
  void RecordFirstEventTime(TimePoint now);
  void RecordPrefillRate(TimePoint now);
  /// The first event of a prompt's answer arrived.
  void RecordPrefillSpeed(TimePoint now);
  /// The answer of a plain service arrived.
  void RecordServiceSpeed(TimePoint now);

  /// Sends a part of the answer to the caller. Reads no more of it while the
  /// caller takes nothing.
  void Forward(std::string_view bytes);
  /// The time in which the answer waited for the caller does not count.
  void ExtendDeadline(TimePoint now);
  /// Counts the bytes of an incomplete event as memory of the request.
  /// @return false if there is no room for them
  bool CountPartialEvent();
  void DiscardPartialEvent();
  /// Ends the attempt since its answer is malformed or too long.
  void RejectAnswer(std::string_view reason);
  /// Collects the answer; begins to send it if it becomes too long to hold.
  void BufferAnswer(std::string_view bytes);
  void HandleFirstEvent();
  void RecordStreamOrigin(TimePoint now);
  /// What upstreams may crash on: the request, and the shared parts of its
  /// prompt.
  std::vector<SuspectId> MakeSuspects() const;
  /// Refuses the request, or doesn't retry it, if it or a part of its prompt is
  /// blocked. If it may be sent as a trial, waits for the coordinator's leave.
  /// @return false if it may be sent
  bool StopAtSuspect(TimePoint now);
  /// Tries again shortly, unless that was done for long.
  /// @return false if the request must be refused
  bool AwaitTrial(TimePoint now);
  void RefuseSuspect(const SuspectRefusal& refusal, TimePoint now);
  /// The request is sent to learn whether upstreams still crash on it.
  void RecordTrial(const UpstreamEntry& upstream);
  /// The upstream may have crashed on the request or a part of its prompt.
  /// @param began_at first event of the answer
  void RecordCrash(const UpstreamEntry& upstream,
                   std::optional<TimePoint> began_at, TimePoint now);
  /// The upstream did not crash on the request.
  void RecordSurvival(TimePoint now);
  void RecordCachedParts(TimePoint now);
  void BeginAnswer();
  void HandleAnswerEnd();
  void AbandonAttempt();
  /// Closes the attempt's connection. If the upstream has been silent on it,
  /// no idle connection that may be as silent is used again.
  void CloseConnection(Attempt& attempt);
  /// Retries or finishes the request after an attempt has ended.
  void OnEnd(AttemptEnd end, std::string_view reason);
  RetryContext MakeRetryContext() const;
  RetryDecision NextDecision(AttemptEnd end);
  void Execute(RetryDecision decision, std::string_view reason);
  /// @param retry_after delay before the caller should retry
  void Refuse(std::string_view reason, std::chrono::milliseconds retry_after,
              int status = kHttpUnavailable);
  /// True if the answer's status would tell the caller that its request has not
  /// run, though the upstream does not say so and the request may run only
  /// once.
  bool IsFalseRefusal() const;
  void DeliverAnswer();
  void Finish(std::string_view outcome, int status, std::string_view reason);
  void RecordMetrics(std::string_view outcome, int status, TimePoint now);
  std::chrono::milliseconds TimeLeft(TimePoint now) const;

  GatewayState& state_;
  AdmittedProxyRequest admitted_;
  std::shared_ptr<IngressSession> session_;
  std::shared_ptr<const std::string> body_;  ///< Of the request.
  ServiceId service_;
  /// The stream may continue only at upstreams of this software version.
  std::optional<SoftwareVersion> stream_software_;
  TimePoint deadline_;
  asio::steady_timer timer_;
  PlacementQuery query_;
  /// Since when the request waits for the holders of its prompt's parts.
  std::optional<TimePoint> holders_asked_at_;
  int unanswered_queries_ = 0;
  std::chrono::milliseconds holders_wait_{0};  ///< Time spent on it.
  /// Units of its team's quota that the request takes; 0 if there is none.
  std::uint64_t quota_cost_ = 0;
  std::uint64_t quota_request_ = 0;  ///< While it waits for the decision.
  std::uint64_t room_id_ = 0;        ///< While the request waits for room.
  TimePoint room_wait_began_at_;
  /// An engine that could be used had no room when the fleet was listed last.
  mutable bool lacks_room_ = false;
  std::vector<SuspectId> suspects_;
  /// Until when the request waits to be sent as a trial.
  std::optional<TimePoint> trial_wait_until_;
  /// No attempt may be made before this time has passed: a part of the prompt
  /// is blocked, or the upstreams take no more requests.
  std::optional<std::chrono::milliseconds> retry_after_;

  std::optional<Attempt> attempt_;
  std::optional<ParkedAttempt> parked_;
  bool has_resumed_ =
      false;  ///< No other upstream took a parked attempt's request.
  /// First event of the last attempt's answer.
  std::optional<TimePoint> answer_began_at_;
  bool survival_recorded_ = false;  ///< Of the last attempt.
  /// The limit that the last answer named, in requests a second.
  std::optional<double> named_limit_;
  /// Connections that the request was sent on. A late answer to an earlier
  /// attempt carries the same id as the answer to the next one.
  std::vector<std::weak_ptr<HttpConnection>> used_connections_;
  /// Given up for silence, in the order of the attempts.
  std::vector<UpstreamId> silent_upstreams_;
  /// Only these are left for the next attempt, whether or not they have room.
  bool returns_only_ = false;
  std::uint32_t attempts_sent_ = 0;
  // Of the last attempt, for logs.
  std::uint64_t connection_number_ = 0;
  std::uint32_t connection_exchanges_ = 0;
  std::uint32_t delivered_attempts_ = 0;
  std::uint32_t expected_cached_tokens_ = 0;
  int upstream_status_ = 0;  ///< 0 if no answer has begun.
  bool may_have_run_ = false;
  bool done_ = false;

  EventSplitter splitter_;
  std::size_t event_bytes_ = 0;  ///< Counted for an incomplete event.
  bool streaming_ = false;       ///< The answer is an event stream.
  bool answer_started_ = false;  ///< The head was sent to the caller.
  // Of the answer that was started.
  bool begun_stream_ = false;        ///< Its events may be continued.
  bool begun_event_stream_ = false;  ///< Its content type says so.
  std::string answer_body_;          ///< While it is buffered.
  /// Since when the upstream's answer is not read, as the caller takes nothing.
  std::optional<TimePoint> paused_since_;
  TimePoint first_event_at_;
  TimePoint last_progress_;  ///< Last byte of an answer, or the last send.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_PROXIED_REQUEST_H_
