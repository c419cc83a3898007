#include "yuccapick/config_parser.h"

#include <catch2/catch.hpp>

#include "yuccapick/config_documents.h"

namespace yuccapick {
namespace {

const std::string kToken(64, 'a');

ConfigFile Deployment() {
  return {"deployment.toml", "[teams.mast-crew]\ntoken_sha256 = [\"" + kToken +
                                 "\"]\nweight = 2\n"
                                 "[models.moor-8b]\nweights = \"2026-11\"\n"
                                 "adapters = [\"handover\"]\n"
                                 "min_replicas = 2\n"
                                 "[models.fen-3b]\nweights = \"1\"\n"};
}

ConfigFile Assistant() {
  return {"assistant/yuccapick.toml",
          "service = \"assistant\"\n"
          "models = [\"moor-8b\"]\n"
          "adapters = [\"handover\"]\n"
          "teams = [\"mast-crew\"]\n"
          "deadline_ms = 30000\n"
          "[[routes]]\nmethod = \"POST\"\npath_prefix = \"/climbs\"\n"
          "idempotent = false\nurgent = true\n"};
}

TEST_CASE("The files of a deployment are parsed into one snapshot") {
  const ParsedConfig parsed = ParseConfig({Deployment(), Assistant()});
  REQUIRE(parsed.ok());
  const ServiceConfig* service =
      parsed.snapshot.FindService(ServiceId("assistant"));
  REQUIRE(service != nullptr);
  CHECK(service->deadline == std::chrono::milliseconds(30'000));
  CHECK_FALSE(ClassifyRoute(*service, "POST", "/climbs/4").idempotent);
  CHECK(ClassifyRoute(*service, "GET", "/climbs/4").idempotent);
  CHECK(parsed.snapshot.FindModel(ModelId("moor-8b"))->min_replicas == 2);
  CHECK(parsed.snapshot.FindTeam(TeamId("mast-crew"))->weight == 2);
}

TEST_CASE("An unknown model is reported with its line and the known models") {
  ConfigFile file = Assistant();
  file.text = "service = \"bookings\"\n\nmodels = [\n  \"meadow-7b\"]\n";
  const ParsedConfig parsed = ParseConfig({Deployment(), file});
  REQUIRE(parsed.problems.size() == 1);
  CHECK(ToString(parsed.problems[0]) ==
        "assistant/yuccapick.toml:4: unknown model 'meadow-7b' in 'models'; "
        "add it under [models] or use one of: fen-3b, moor-8b");
}

TEST_CASE("All problems of all files are reported at once") {
  ConfigFile deployment = Deployment();
  deployment.text += "colour = \"red\"\n[teams.x]\n";
  ConfigFile plain{"diary/yuccapick.toml",
                   "service = \"assistant\"\nkind = \"plain\"\n"
                   "models = []\noutage = \"hope\"\nmax_body_bytes = -1\n"
                   "urgent = 1\nretries = 3\n"
                   "[[routes]]\nmethod = \"post\"\npath_prefix = \"x\"\n"};
  ConfigFile broken{"broken/yuccapick.toml", "service = \n"};
  const ParsedConfig parsed =
      ParseConfig({deployment, Assistant(), broken, plain});
  std::vector<std::string> found;
  for (const ConfigProblem& problem : parsed.problems) {
    found.push_back(problem.file.substr(0, 3) + ":" +
                    std::to_string(problem.line) + ":" + problem.key);
    CHECK_FALSE(problem.remedy.empty());
  }
  const std::vector<std::string> expected{
      "bro:1:",        "dep:10:colour", "dep:11:token_sha256",  "dia:1:service",
      "dia:3:models",  "dia:4:outage",  "dia:5:max_body_bytes", "dia:6:urgent",
      "dia:7:retries", "dia:9:method",  "dia:10:path_prefix"};
  CHECK(found == expected);
}

TEST_CASE("A token of two teams is an error") {
  ConfigFile deployment = Deployment();
  deployment.text += "[teams.other]\ntoken_sha256 = [\"" + kToken + "\"]\n";
  const ParsedConfig parsed = ParseConfig({deployment});
  REQUIRE(parsed.problems.size() == 1);
  CHECK(parsed.problems[0].message ==
        "team 'mast-crew' already has this token");
}

TEST_CASE("A snapshot can be rebuilt from its documents") {
  const ConfigSnapshot snapshot =
      ParseConfig({Deployment(), Assistant()}).snapshot;
  const ConfigDocuments documents = ToDocuments(snapshot);
  const auto back = FromDocuments(documents.index, documents.contents);
  REQUIRE(back.ok());
  CHECK(back->teams == snapshot.teams);
  CHECK(back->models == snapshot.models);
  CHECK(back->services == snapshot.services);
  CHECK(ToDocuments(*back) == documents);
  CHECK(ParseIndex(SerialiseIndex(documents.index)).value() == documents.index);
}

TEST_CASE("A change of one service changes one document") {
  ConfigSnapshot snapshot = ParseConfig({Deployment(), Assistant()}).snapshot;
  const ConfigIndex before = ToDocuments(snapshot).index;
  snapshot.services[0].urgent = true;
  const ConfigIndex after = ToDocuments(snapshot).index;
  const auto changes = Diff(before, after);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].name == "services/assistant");
  CHECK(Apply(before, changes) == after);
  CHECK(Apply(after, Diff(after, {})).empty());
}

TEST_CASE("A missing document is an error") {
  const ConfigDocuments documents =
      ToDocuments(ParseConfig({Deployment(), Assistant()}).snapshot);
  const auto back = FromDocuments(documents.index, {});
  REQUIRE_FALSE(back.ok());
  CHECK(absl::IsNotFound(back.status()));
}

}  // namespace
}  // namespace yuccapick
