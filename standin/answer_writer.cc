#include "standin/answer_writer.h"

#include <fmt/format.h>

#include <utility>

namespace yuccapick::standin {
namespace {

using Json = nlohmann::json;

Json UsageJson(const Generation& generation) {
  const std::uint64_t completion =
      generation.end_token - generation.first_token;
  return {
      {"prompt_tokens", generation.prompt_tokens},
      {"completion_tokens", completion},
      {"total_tokens", generation.prompt_tokens + completion},
      {"prompt_tokens_details", {{"cached_tokens", generation.cached_tokens}}}};
}

std::string RemainingText(const Generation& generation) {
  std::string text;
  for (std::uint64_t i = generation.first_token; i < generation.end_token;
       ++i) {
    text += AnswerToken(generation.seed, i);
  }
  return text;
}

}  // namespace

AnswerWriter::AnswerWriter(AnswerFormat format, ResponderPtr responder,
                           std::uint64_t from)
    : format_(std::move(format)),
      responder_(std::move(responder)),
      next_position_(from) {
  const std::string object =
      format_.chat ? "chat.completion.chunk" : "text_completion";
  head_ = fmt::format(
      R"({{"id":{},"object":"{}","model":{},"system_fingerprint":{})",
      Json(format_.id).dump(), object, Json(format_.model).dump(),
      Json(format_.weights).dump());
}

bool AnswerWriter::Update(const Generation& generation) {
  if (generation.state == Generation::State::kCancelled) {
    responder_->Abort();
    return false;
  }
  if (format_.streamed) return UpdateStream(generation);
  if (generation.state != Generation::State::kFinished) return true;
  WriteWhole(generation);
  return false;
}

bool AnswerWriter::UpdateStream(const Generation& generation) {
  if (!begun_) responder_->Begin(200, "text/event-stream");
  begun_ = true;
  std::string data;
  const std::uint64_t offset = generation.first_position;
  auto token = [&] { return generation.first_token + next_position_ - offset; };
  while (token() < generation.next_token) {
    if (format_.truncate_after != 0 && written_ == format_.truncate_after) {
      if (!data.empty()) responder_->Write(std::move(data));
      responder_->Abort();
      return false;
    }
    data += TokenEvent(generation, token());
    ++next_position_;
    ++written_;
  }
  const bool last = generation.state == Generation::State::kFinished;
  if (last) data += LastEvent(generation);
  if (!data.empty()) responder_->Write(std::move(data));
  if (last) responder_->Finish();
  return !last;
}

std::string AnswerWriter::TokenEvent(const Generation& generation,
                                     std::uint64_t token) const {
  const std::string text = AnswerToken(generation.seed, token);
  const std::string content =
      format_.chat ? fmt::format(R"("delta":{{"content":"{}"}})", text)
                   : fmt::format(R"("text":"{}")", text);
  return fmt::format(
      "data: {},\"position\":{},\"choices\":[{{\"index\":0,{}}}]}}\n\n", head_,
      next_position_, content);
}

std::string AnswerWriter::LastEvent(const Generation& generation) const {
  const std::string content = format_.chat ? R"("delta":{})" : R"("text":"")";
  return fmt::format(
      "data: {},\"position\":{},\"choices\":[{{\"index\":0,{},"
      "\"finish_reason\":\"length\"}}],\"usage\":{}}}\n\ndata: [DONE]\n\n",
      head_, next_position_, content, UsageJson(generation).dump());
}

void AnswerWriter::WriteWhole(const Generation& generation) {
  Json choice = {{"index", 0}, {"finish_reason", "length"}};
  const std::string text = RemainingText(generation);
  if (format_.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const Json answer = {
      {"id", format_.id},
      {"object", format_.chat ? "chat.completion" : "text_completion"},
      {"model", format_.model},
      {"system_fingerprint", format_.weights},
      {"choices", Json::array({choice})},
      {"usage", UsageJson(generation)}};
  if (format_.truncate_after == 0) return responder_->SendJson(200, answer);
  const std::string body = answer.dump();
  responder_->Begin(200, "application/json");
  responder_->Write(body.substr(0, body.size() / 2));
  responder_->Abort();
}

}  // namespace yuccapick::standin
