#ifndef YUCCAPICK_STANDIN_KV_INDEX_H_
#define YUCCAPICK_STANDIN_KV_INDEX_H_

/// @file
/// Index of kept KV prefixes by cache salt and chain hash.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace yuccapick::standin {

/// Reads a number that may be encoded as a string; 0 if it is absent.
inline std::uint64_t NumberField(const nlohmann::json& body,
                                 const std::string& name) {
  auto it = body.find(name);
  if (it == body.end()) return 0;
  if (it->is_number_integer()) return it->get<std::uint64_t>();
  if (!it->is_string()) return 0;
  return std::strtoull(it->get<std::string>().c_str(), nullptr, 10);
}

/// Prefixes that a store received by exports or an engine by imports.
class KvIndex {
 public:
  /// Adds the prefix that the whole chain of `body` denotes.
  void Add(const nlohmann::json& body) {
    const auto chain = body.value("chain", nlohmann::json::array());
    if (chain.empty() || !chain.back().is_number_integer()) return;
    const Key key{NumberField(body, "cache_salt"),
                  chain.back().get<std::uint64_t>()};
    tokens_[key] = NumberField(body, "tokens");
  }

  /// Returns the tokens of the longest kept prefix of the chain of `body`.
  std::uint64_t LongestPrefixTokens(const nlohmann::json& body) const {
    const std::uint64_t salt = NumberField(body, "cache_salt");
    std::uint64_t longest = 0;
    for (const auto& link : body.value("chain", nlohmann::json::array())) {
      if (!link.is_number_integer()) continue;
      auto it = tokens_.find({salt, link.get<std::uint64_t>()});
      if (it != tokens_.end()) longest = std::max(longest, it->second);
    }
    return longest;
  }

  void Clear() { tokens_.clear(); }
  std::size_t size() const { return tokens_.size(); }

 private:
  using Key = std::pair<std::uint64_t, std::uint64_t>;
  std::map<Key, std::uint64_t> tokens_;
};

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_KV_INDEX_H_
