#include "shell/settings.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

#include "shell/toml_reader.h"

namespace yuccapick {
namespace {

void ReadEndpoint(TomlReader table, Endpoint& endpoint) {
  table.Read("host", endpoint.host);
  table.ReadPort("port", endpoint.port);
  table.Finish();
}

void ReadTls(TomlReader table, TlsSettings& tls) {
  table.Read("certificate_file", tls.certificate_file);
  table.Read("key_file", tls.key_file);
  table.Read("authority_file", tls.authority_file);
  table.Finish();
}

void ReadProcess(TomlReader table, ProcessSettings& settings) {
  table.Read("instance", settings.instance.value);
  table.Read("failure_domain", settings.domain.value);
  table.Read("region", settings.region.value);
  table.Read("secret", settings.secret);
  table.Read("log_level", settings.log_level);
  table.ReadMilliseconds("drain_deadline_ms", settings.drain_deadline);
  table.Require("instance", settings.instance.value,
                "name this process, such as \"router-1\"");
  table.Require("failure_domain", settings.domain.value,
                "name the failure domain that this process runs in");
  table.Require("secret", settings.secret,
                "set the secret that all processes of the system share");
  table.Finish();
}

void ReadPlatform(TomlReader table, PlatformSettings& platform) {
  table.Read("table_url", platform.table_url);
  table.Read("objects_url", platform.objects_url);
  table.Read("instances_url", platform.instances_url);
  table.Finish();
}

void ReadRouter(TomlReader table, RouterSettings& router) {
  ReadEndpoint(table.Table("listen"), router.listen);
  table.ReadCount("max_connections", router.max_connections);
  table.ReadCount("max_header_bytes", router.max_header_bytes);
  table.ReadCount("max_body_bytes", router.max_body_bytes);
  table.ReadMilliseconds("read_timeout_ms", router.read_timeout);
  table.Finish();
}

void ReadKind(TomlReader& table, UpstreamKind& kind) {
  std::string text = "model_engine";
  table.Read("kind", text);
  if (text == "plain_service") {
    kind = UpstreamKind::kPlainService;
  } else if (text == "kv_store") {
    kind = UpstreamKind::kKvStore;
  } else if (text != "model_engine") {
    table.Require("kind", "",
                  fmt::format("'{}' is no kind of upstream; use "
                              "\"model_engine\", \"plain_service\" or "
                              "\"kv_store\"",
                              text));
  }
}

void ReadAgent(TomlReader table, AgentSettings& agent) {
  std::vector<std::string> services;
  table.Read("upstream", agent.upstream.value);
  table.Read("upstream_url", agent.upstream_url);
  table.Read("services", services);
  table.Read("upstream_checks_fence", agent.upstream_checks_fence);
  table.ReadCount("max_running", agent.max_running);
  ReadKind(table, agent.kind);
  table.Finish();
  for (std::string& name : services) agent.services.emplace_back(name);
}

}  // namespace

absl::StatusOr<ProcessSettings> ParseSettings(const std::string& text,
                                              const std::string& file) {
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    return absl::InvalidArgumentError(
        fmt::format("{}:{}: {}; correct the TOML syntax", file,
                    error.source().begin.line, error.description()));
  }
  TomlErrors errors(file);
  ProcessSettings settings;
  TomlReader reader(&root, "", errors);
  ReadProcess(reader.Table("process"), settings);
  ReadEndpoint(reader.Table("link"), settings.link);
  ReadEndpoint(reader.Table("metrics"), settings.metrics);
  ReadTls(reader.Table("link_tls"), settings.link_tls);
  ReadTls(reader.Table("caller_tls"), settings.caller_tls);
  ReadPlatform(reader.Table("platform"), settings.platform);
  ReadRouter(reader.Table("router"), settings.router);
  ReadAgent(reader.Table("agent"), settings.agent);
  reader.Finish();
  if (!errors.empty()) return absl::InvalidArgumentError(errors.ToString());
  return settings;
}

absl::StatusOr<ProcessSettings> LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return absl::NotFoundError(fmt::format(
        "{}: cannot be read; pass an existing file to --settings", file));
  }
  std::stringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), file);
}

}  // namespace yuccapick
