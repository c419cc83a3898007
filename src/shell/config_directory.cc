#include "shell/config_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace yuccapick {
namespace {

namespace fs = std::filesystem;

absl::StatusOr<ConfigFile> ReadConfigFile(const fs::path& root,
                                          const fs::path& file) {
  std::ifstream in(file, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (in.bad() || !in.is_open()) {
    return absl::PermissionDeniedError(
        fmt::format("{} cannot be read; check its permissions", file.string()));
  }
  return ConfigFile{file.lexically_relative(root).generic_string(),
                    std::move(text)};
}

bool IsConfigFile(const fs::path& root, const fs::path& file) {
  if (file.filename() == kServiceFile) return true;
  return file.filename() == kDeploymentFile && file.parent_path() == root;
}

}  // namespace

absl::StatusOr<std::vector<ConfigFile>> ReadConfigDirectory(
    const std::string& directory) {
  const fs::path root = fs::path(directory).lexically_normal();
  std::error_code ec;
  fs::recursive_directory_iterator it(root, ec);
  if (ec) {
    return absl::NotFoundError(fmt::format(
        "{} cannot be listed: {}; pass a directory that contains {}", directory,
        ec.message(), kDeploymentFile));
  }
  std::vector<ConfigFile> files;
  for (; it != fs::recursive_directory_iterator(); it.increment(ec)) {
    if (ec) break;
    if (!it->is_regular_file(ec) || !IsConfigFile(root, it->path())) continue;
    auto file = ReadConfigFile(root, it->path());
    if (!file.ok()) return file.status();
    files.push_back(*std::move(file));
  }
  if (ec) {
    return absl::UnavailableError(
        fmt::format("{} cannot be listed: {}; check its permissions", directory,
                    ec.message()));
  }
  std::sort(
      files.begin(), files.end(),
      [](const ConfigFile& a, const ConfigFile& b) { return a.path < b.path; });
  return files;
}

}  // namespace yuccapick
