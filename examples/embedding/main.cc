/// @file
/// Drives the router's decisions from another program: events go in, actions
/// come out, and the program carries them as it likes.

#include <chrono>
#include <cstdio>
#include <memory>
#include <variant>

#include "yuccapick/router_core.h"

namespace {

yuccapick::ConfigPtr MakeConfig() {
  auto config = std::make_shared<yuccapick::ConfigSnapshot>();
  config->version = yuccapick::ConfigVersion(1);
  config->teams = {{yuccapick::TeamId("clinic"), {}, 1.0}};
  config->models = {
      {yuccapick::ModelId("fen-3b"), yuccapick::WeightVersion("w1"), {}, 1}};
  yuccapick::ServiceConfig notes;
  notes.id = yuccapick::ServiceId("notes");
  notes.models = {yuccapick::ModelId("fen-3b")};
  config->services = {notes};
  return config;
}

yuccapick::UpstreamInfo MakeEngine(const char* name) {
  yuccapick::UpstreamInfo engine;
  engine.id = yuccapick::UpstreamId(name);
  engine.agent_incarnation = yuccapick::Incarnation(1);
  engine.engine_incarnation = yuccapick::Incarnation(1);
  engine.loaded = {
      {yuccapick::ModelId("fen-3b"), {}, yuccapick::WeightVersion("w1")}};
  return engine;
}

yuccapick::CallerRequest MakeRequest() {
  yuccapick::CallerRequest request;
  request.id = yuccapick::RequestId(1);
  request.team = yuccapick::TeamId("clinic");
  request.service = yuccapick::ServiceId("notes");
  request.kind = yuccapick::RequestKind::kChatCompletion;
  request.model = yuccapick::ModelId("fen-3b");
  request.levels = {"system\nclinic policy", "user\nquestion"};
  return request;
}

}  // namespace

int main() {
  yuccapick::RouterCoreOptions options;
  options.instance = yuccapick::InstanceId("router-1");
  options.incarnation = yuccapick::Incarnation(1);
  yuccapick::RouterCore core(options);
  const yuccapick::TimePoint now = std::chrono::steady_clock::now();

  core.Handle(yuccapick::ConfigChanged{MakeConfig()}, now);
  for (const char* name : {"engine-1", "engine-2"}) {
    core.Handle(yuccapick::UpstreamChanged{MakeEngine(name)}, now);
    yuccapick::AgentReport report;
    report.upstream = MakeEngine(name);
    report.config = yuccapick::ConfigVersion(1);
    report.sequence = 1;
    core.Handle(yuccapick::ReportArrived{report}, now);
  }

  for (const yuccapick::RouterAction& action :
       core.Handle(yuccapick::RequestArrived{MakeRequest()}, now)) {
    if (const auto* sent = std::get_if<yuccapick::SendAttempt>(&action)) {
      std::printf("attempt %s to %s\n", sent->request.attempt.value.c_str(),
                  sent->upstream.value.c_str());
    }
  }
  return 0;
}
