/// Backend servers by service and zone, kept up with each change at a constant
/// cost, and drawn from without a pass over all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wasabiloom::registry {

struct ServerRecord;

/// How many servers a draw takes.
struct SampleSize
{
  /// Of the zone asked for.
  std::size_t m_localZoneCount = 16;
  /// Of all zones together.
  std::size_t m_totalCount = 24;
};

/// Lists of servers in no particular order. One thread at a time.
class ServiceIndex
{
public:
  using Servers = std::vector<const ServerRecord*>;

  /// Lists `aServer` under service and zone, and nowhere else.
  void Add(const std::string& aService,
           const std::string& aZone,
           const ServerRecord& aServer);

  /// Takes `aServer` off its list, if it is on one.
  void Remove(const ServerRecord& aServer);

  /// All servers of `aService`.
  Servers All(std::string_view aService) const;

  /// Replaces `aDrawn` by different servers of `aService`, those of `aZone`
  /// first: all of them where they are no more than `aSize` says, otherwise a
  /// choice that `aHash` decides. Equal hashes draw the same.
  void Sample(std::string_view aService,
              std::string_view aZone,
              const SampleSize& aSize,
              std::uint64_t aHash,
              Servers& aDrawn) const;

private:
  using Zones = std::map<std::string, Servers, std::less<>>;

  struct Place
  {
    Servers* m_list = nullptr;
    std::size_t m_position = 0;
  };

  std::map<std::string, Zones, std::less<>> m_lists;
  std::unordered_map<const ServerRecord*, Place> m_places;
};

} // namespace wasabiloom::registry
