#include "support/Registry.h"
#include "wasabiloom/registry/ServiceIndex.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace wasabiloom::tests {

using registry::ServerRecord;
using registry::ServiceIndex;

namespace {

std::set<const ServerRecord*>
Listed(const ServiceIndex& aIndex, std::string_view aService)
{
  const auto servers = aIndex.All(aService);
  return { servers.begin(), servers.end() };
}

} // namespace

TEST(ServiceIndex, ListsEachServerOnceUnderItsLatestService)
{
  ServiceIndex index;
  const std::vector<ServerRecord> servers(4);
  for (const ServerRecord& server : servers) {
    index.Add("desk", "a", server);
    index.Add("desk", "a", server);
  }
  EXPECT_EQ(index.All("desk").size(), 4U);
  index.Add("scan", "b", servers[1]);
  EXPECT_EQ(Listed(index, "scan"), std::set{ &servers[1] });
  index.Remove(servers[0]);
  index.Remove(servers[0]);
  EXPECT_EQ(Listed(index, "desk"), (std::set{ &servers[2], &servers[3] }));
  index.Remove(servers[3]);
  index.Add("desk", "b", servers[0]);
  EXPECT_EQ(Listed(index, "desk"), (std::set{ &servers[2], &servers[0] }));
  EXPECT_TRUE(index.All("none").empty());
}

TEST(ServiceIndex, SamplesDistinctServersOfTheLocalZoneFirst)
{
  constexpr std::size_t kZone = 50;
  ServiceIndex index;
  const std::vector<ServerRecord> servers(3 * kZone);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    index.Add(
      "desk", std::string(1, static_cast<char>('a' + i / kZone)), servers[i]);
  }
  ServiceIndex::Servers drawn;
  std::set<const ServerRecord*> seen;
  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    index.Sample("desk", "b", {}, hash, drawn);
    ASSERT_EQ(drawn.size(), registry::SampleSize{}.m_totalCount);
    const std::set<const ServerRecord*> different(drawn.begin(), drawn.end());
    ASSERT_EQ(different.size(), drawn.size());
    const auto near = std::ranges::count_if(drawn, [&](const auto* aServer) {
      return aServer >= &servers[kZone] && aServer < &servers[2 * kZone];
    });
    ASSERT_EQ(near, 16);
    seen.insert(drawn.begin(), drawn.end());
  }
  EXPECT_EQ(seen.size(), servers.size())
    << "every server must be in some sample";
}

TEST(ServiceIndex, SamplesAllServersOfASmallService)
{
  ServiceIndex index;
  const std::vector<ServerRecord> servers(24);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    index.Add("desk", i < 20 ? "a" : "b", servers[i]);
  }
  ServiceIndex::Servers drawn;
  for (const char* zone : { "a", "b", "c" }) {
    index.Sample("desk", zone, {}, 7, drawn);
    EXPECT_EQ(drawn.size(), servers.size()) << zone;
  }
  index.Sample("none", "a", {}, 7, drawn);
  EXPECT_TRUE(drawn.empty());
}

TEST(ServiceIndex, SamplesOneZoneAlone)
{
  ServiceIndex index;
  std::array<ServerRecord, 6> servers;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    index.Add("desk", i < 4 ? "a" : "b", servers.at(i));
  }
  ServiceIndex::Servers drawn;
  for (std::uint64_t hash = 0; hash < 50; ++hash) {
    index.SampleZone("desk", "a", 3, hash, drawn);
    EXPECT_EQ(std::set(drawn.begin(), drawn.end()).size(), 3U);
    EXPECT_TRUE(std::ranges::all_of(drawn, [&](const ServerRecord* aServer) {
      return aServer < &servers.at(4);
    }));
  }
  index.SampleZone("desk", "c", 3, 0, drawn);
  EXPECT_TRUE(drawn.empty());
  index.SampleZone("vault", "a", 3, 0, drawn);
  EXPECT_TRUE(drawn.empty());

  std::map<std::string, std::size_t> sizes;
  index.ForEachZone("desk",
                    [&](const std::string& aZone, const auto& aServers) {
                      sizes[aZone] = aServers.size();
                    });
  EXPECT_EQ(sizes,
            (std::map<std::string, std::size_t>{ { "a", 4 }, { "b", 2 } }));
}

} // namespace wasabiloom::tests
