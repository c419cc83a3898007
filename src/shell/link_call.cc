#include "shell/link_call.h"

#include <memory>
#include <utility>

namespace yuccapick {
namespace {

constexpr int kMaxStatusCode =
    static_cast<int>(absl::StatusCode::kUnauthenticated);

std::string EncodeResult(const absl::StatusOr<std::string>& result) {
  std::string payload(1, static_cast<char>(result.status().code()));
  if (result.ok()) {
    payload += *result;
  } else {
    const auto message = result.status().message();
    payload.append(message.data(), message.size());
  }
  return payload;
}

absl::StatusOr<std::string> DecodeResult(std::string_view payload) {
  const int code = payload.empty() ? -1 : payload.front();
  if (code < 0 || code > kMaxStatusCode) {
    return absl::InternalError(
        "malformed call result; run the same release on both ends");
  }
  std::string rest(payload.substr(1));
  if (code == static_cast<int>(absl::StatusCode::kOk)) return rest;
  return absl::Status(static_cast<absl::StatusCode>(code), rest);
}

}  // namespace

void ServeCall(const LinkStreamPtr& stream, const CallHandler& handler) {
  LinkStreamHandlers handlers;
  const std::weak_ptr<LinkStream> weak = stream;
  auto received = std::make_shared<bool>(false);
  handlers.on_frame = [weak, handler, received](LinkMessageType type,
                                                std::string_view payload) {
    const LinkStreamPtr self = weak.lock();
    if (*received || type != LinkMessageType::kCall) {
      self->Reset();
      return true;
    }
    *received = true;
    handler(std::string(payload),
            [self](const absl::StatusOr<std::string>& result) {
              self->SendFrame(LinkMessageType::kCallResult,
                              EncodeResult(result));
              self->Finish();
            });
    return true;
  };
  stream->SetHandlers(std::move(handlers));
}

LinkStreamHandlers MakeCallResultHandlers(CallDone done) {
  auto pending = std::make_shared<CallDone>(std::move(done));
  LinkStreamHandlers handlers;
  handlers.on_frame = [pending](LinkMessageType type,
                                std::string_view payload) {
    const CallDone call_done = std::exchange(*pending, nullptr);
    if (!call_done) return true;
    if (type == LinkMessageType::kCallResult) {
      call_done(DecodeResult(payload));
    } else {
      call_done(
          absl::InternalError("peer answered a call with a wrong frame type"));
    }
    return true;
  };
  handlers.on_close = [pending](const LinkClose& close) {
    const CallDone call_done = std::exchange(*pending, nullptr);
    if (!call_done) return;
    if (close.status.code() == absl::StatusCode::kNotFound || !close.sent) {
      call_done(close.status);
    } else {
      call_done(absl::UnknownError(
          "link was lost before the call was answered; the call may have run"));
    }
  };
  return handlers;
}

}  // namespace yuccapick
