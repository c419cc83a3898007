#ifndef YUCCAPICK_GATEWAY_REQUEST_FLIGHT_H_
#define YUCCAPICK_GATEWAY_REQUEST_FLIGHT_H_

/// @file
/// One caller's request on its way: attempts, answer, end.

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/http_connection.h"
#include "gateway/ingress_session.h"
#include "gateway/upstream_messages.h"
#include "yuccapick/attempt_policy.h"
#include "yuccapick/event_splitter.h"

namespace yuccapick {

/// A request that the configuration permits.
struct AdmittedFlight {
  GatewayConfigPtr config;  ///< Keeps `route` and `team` alive.
  const GatewayRoute* route = nullptr;
  const GatewayTeam* team = nullptr;
  IngressRequest request;
  CallerHead caller;
};

/// Keeps itself alive through its connection and timer. Used on one loop.
class RequestFlight : public PendingRequest,
                      public ExchangeHandler,
                      public std::enable_shared_from_this<RequestFlight> {
 public:
  RequestFlight(GatewayState& state, AdmittedFlight admitted,
                std::shared_ptr<IngressSession> session);

  void Begin();

  void OnCallerDisconnected() override;
  HeadVerdict OnAnswerHead(const HttpHead& head) override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnExchangeEnd(ExchangeEnd end, std::string_view reason) override;

 private:
  /// The attempt under way.
  struct Attempt {
    UpstreamEntry upstream;
    std::shared_ptr<HttpConnection> connection;
    WorkAmount amount;
    TimePoint sent_at;
    TimePoint last_progress;
    std::optional<HttpHead> head;
    AnswerFacts facts;
    DirectChoice choice;
    bool first_event = false;
  };

  ServiceId PickService();
  PlacementFleet Fleet() const;
  bool HasUntriedUpstream() const;
  void TrySend();
  void Send(const DirectChoice& choice, const UpstreamEntry& upstream);
  AttemptHead MakeAttemptHead(const DirectChoice& choice,
                              const UpstreamEntry& upstream) const;
  std::optional<WeightVersionNumber> WeightsAt(
      const UpstreamEntry& upstream) const;
  int Urgency() const;

  void ArmTimer();
  void OnTimer();
  /// When the attempt under way counts as stuck, if it may be repeated.
  /// Refuses the request if it is one of the share shed under overload.
  /// @return true if it was refused
  bool ShedLoad();
  /// How long before its weights are due an upstream gets nothing more.
  std::chrono::milliseconds WeightsReserve() const;
  /// How long the attempt may send nothing before it counts as stuck.
  std::chrono::milliseconds Patience() const;
  std::optional<TimePoint> StuckAt() const;
  void NoteFirstEventTime(TimePoint now);

  void OnFirstEvent();
  void NoteCachedParts(TimePoint now);
  void BeginAnswer();
  void ConcludeAnswer();
  void ReleaseAttempt();
  void Conclude(AttemptEnd end, std::string_view reason);
  RetryDecision NextStep(AttemptEnd end);
  void Carry(RetryDecision step, std::string_view reason);
  /// @param retry_after when the caller may come back
  void Refuse(std::string_view reason, std::chrono::milliseconds retry_after);
  void Deliver();
  void Finish(std::string_view outcome, int status, std::string_view reason);
  void RecordMetrics(std::string_view outcome, int status, TimePoint now);
  std::chrono::milliseconds TimeLeft(TimePoint now) const;

  GatewayState& state_;
  AdmittedFlight admitted_;
  std::shared_ptr<IngressSession> session_;
  ServiceId service_;
  TimePoint deadline_;
  asio::steady_timer timer_;
  PlacementQuery query_;

  std::optional<Attempt> attempt_;
  std::uint32_t sends_ = 0;
  std::uint32_t arrivals_ = 0;
  std::uint32_t expected_hit_tokens_ = 0;
  bool may_have_run_ = false;
  bool done_ = false;

  EventSplitter splitter_;
  bool streaming_ = false;       ///< The answer is an event stream.
  bool answer_started_ = false;  ///< The caller has got the head.
  std::string body_;             ///< Of an answer that is sent as a whole.
  TimePoint first_event_at_;
  TimePoint last_progress_;  ///< Last byte of an answer, or the last send.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_REQUEST_FLIGHT_H_
