#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "yuccapick/part_directory.h"
#include "yuccapick/part_owners.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
constexpr std::size_t kDocuments = 800;
constexpr int kRequests = 20'000;
constexpr milliseconds kBetweenRequests{1};
/// A used document stays with its engine, so that its holder can be known.
constexpr std::size_t kEngines = 60;

/// Gateways that tell and ask the owners of documents. Each message is lost
/// with the same probability.
class Group {
 public:
  Group(std::size_t gateways, double loss)
      : directories_(gateways), loss_(loss) {
    std::vector<PartOwner> all;
    for (std::size_t i = 0; i < gateways; ++i) {
      all.push_back(
          {InstanceId(fmt::format("gateway-{}", i)), fmt::to_string(i)});
    }
    owners_.SetMembers(InstanceId("observer"), all);
  }

  /// A gateway gets a request for a document that `engine` has held since the
  /// first request.
  /// @return true if it knows the engine
  bool Request(std::size_t gateway, const PartChain& chain,
               const UpstreamId& engine, TimePoint now) {
    const std::uint64_t part = chain.back().hash;
    PartDirectory& owner = OwnerOf(part);
    PartDirectory& own = directories_[gateway];
    if (!Lost() && !Lost()) {
      own.OnHoldersLearned(chain, owner.HoldersOf(part, now), now);
    }
    const bool known = own.TokensAt(chain, engine, now) > 0;
    own.OnUsed(chain, engine, now);
    if (!Lost()) {
      owner.OnHolderUpdate(
          {part, {engine, chain.back().tokens, false, {}, false}, false}, now);
    }
    return known;
  }

  /// A gateway loses what it knows.
  void Restart(std::size_t gateway) { directories_[gateway] = PartDirectory(); }

 private:
  PartDirectory& OwnerOf(std::uint64_t part) {
    const std::string& endpoint = owners_.EndpointOf(part);
    if (endpoint.empty()) return observer_;
    return directories_[std::stoul(endpoint)];
  }
  bool Lost() { return std::bernoulli_distribution(loss_)(random_); }

  std::vector<PartDirectory> directories_;
  PartDirectory observer_;
  PartOwners owners_;
  double loss_;
  std::mt19937 random_{7};
};

/// @return share of the requests for documents asked for before whose gateway
///   knew the engine
double KnownShare(std::size_t gateways, double loss,
                  std::size_t restarted_gateways) {
  Group group(gateways, loss);
  std::mt19937 random(11);
  std::uniform_int_distribution<std::size_t> any_gateway(0, gateways - 1);
  std::uniform_int_distribution<std::size_t> any_document(0, kDocuments - 1);
  std::vector<bool> seen(kDocuments);
  int again = 0;
  int known = 0;
  for (int i = 0; i < kRequests; ++i) {
    if (i == kRequests / 2) {
      for (std::size_t g = 0; g < restarted_gateways; ++g) group.Restart(g);
    }
    const std::size_t document = any_document(random);
    const PartChain chain = SharedChain(
        "v1",
        {{"guide", 2'500}, {fmt::to_string(document), 3'800}, {"own", 1}});
    const UpstreamId engine(fmt::to_string(document % kEngines));
    const bool knew = group.Request(any_gateway(random), chain, engine,
                                    kStart + i * kBetweenRequests);
    if (seen[document]) {
      ++again;
      if (knew) ++known;
    }
    seen[document] = true;
  }
  return static_cast<double>(known) / again;
}

TEST_CASE("Any number of gateways know what one of them had read") {
  for (const std::size_t gateways : {2U, 33U, 200U, 660U}) {
    CHECK(KnownShare(gateways, 0.0, 0) == 1.0);
  }
}

TEST_CASE("A lost message costs the knowledge for one request at most") {
  constexpr double kLoss = 0.05;
  // A request needs the query, the answer and one of the earlier updates.
  for (const std::size_t gateways : {33U, 660U}) {
    CHECK(KnownShare(gateways, kLoss, 0) > (1 - kLoss) * (1 - kLoss) - 0.02);
  }
}

TEST_CASE("Owners that restart lose each document for one request at most") {
  constexpr std::size_t kGateways = 660;
  const double most_lost = static_cast<double>(kDocuments) / kRequests;
  CHECK(KnownShare(kGateways, 0.0, kGateways) >= 1.0 - 2 * most_lost);
}

}  // namespace
}  // namespace yuccapick
