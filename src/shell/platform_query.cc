#include "shell/platform_query.h"

#include <utility>

namespace yuccapick {
namespace {

constexpr std::size_t kScanPageRows = 500;

}  // namespace

PlatformQuery::PlatformQuery(const PlatformSettings& settings)
    : channel_(
          std::make_shared<PlatformChannel>(loop_, PlatformChannelOptions())),
      table_(channel_, settings.table_url),
      objects_(channel_, settings.objects_url),
      instances_(channel_, settings.instances_url) {}

template <typename T, typename Call>
absl::StatusOr<T> PlatformQuery::Await(Call call) {
  absl::StatusOr<T> out =
      absl::UnavailableError("the platform did not respond");
  loop_.restart();
  call([&](absl::StatusOr<T> result) {
    out = std::move(result);
    loop_.stop();
  });
  loop_.run();
  return out;
}

absl::StatusOr<std::vector<TableRow>> PlatformQuery::Read(
    const std::string& key) {
  return Await<std::vector<TableRow>>(
      [&](auto done) { table_.Read({key}, done); });
}

absl::StatusOr<std::vector<TableRow>> PlatformQuery::Scan(
    const std::string& prefix) {
  std::vector<TableRow> all;
  std::string after;
  while (true) {
    auto page = Await<std::vector<TableRow>>(
        [&](auto done) { table_.Scan(prefix, after, kScanPageRows, done); });
    if (!page.ok()) return page.status();
    if (page->empty()) return all;
    after = page->back().key;
    all.insert(all.end(), page->begin(), page->end());
  }
}

absl::StatusOr<std::string> PlatformQuery::Object(const std::string& name) {
  return Await<std::string>([&](auto done) { objects_.Get(name, done); });
}

absl::StatusOr<std::vector<InstanceEntry>> PlatformQuery::Instances() {
  return Await<std::vector<InstanceEntry>>(
      [&](auto done) { instances_.List(done); });
}

}  // namespace yuccapick
