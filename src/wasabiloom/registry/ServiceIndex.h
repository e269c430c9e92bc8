/// Index of backend servers by service and zone. Changes take constant time,
/// and random samples are taken without a pass over all servers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wasabiloom::registry {

struct ServerRecord;

/// Upper limits on the number of servers in a sample.
struct SampleSize
{
  /// Servers of the requested zone. More of them are taken when the other zones
  /// can't fill the sample.
  std::size_t m_localZoneCount = 16;
  /// Servers of all zones together.
  std::size_t m_totalCount = 24;
};

/// Unordered lists of servers by service and zone. The servers must outlive
/// their entries. Not thread safe: use it from one thread at a time.
class ServiceIndex
{
public:
  using Servers = std::vector<const ServerRecord*>;

  /// Adds `aServer` to the list of `aService` and `aZone` and removes it from
  /// any other list.
  void Add(const std::string& aService,
           const std::string& aZone,
           const ServerRecord& aServer);

  /// Removes `aServer` from its list. Has no effect if it is on none.
  void Remove(const ServerRecord& aServer);

  /// Returns all servers of `aService`.
  Servers All(std::string_view aService) const;

  /// Calls `aVisit` with each zone that has servers of `aService`, and with its
  /// servers.
  void ForEachZone(std::string_view aService,
                   const std::function<void(const std::string&,
                                            const Servers&)>& aVisit) const;

  /// Whether `aAccepts` holds for any server of `aZone`.
  bool HasInZone(
    std::string_view aZone,
    const std::function<bool(const ServerRecord&)>& aAccepts) const;

  /// Calls `aVisit` with each service, zone and list of servers.
  void ForEachList(const std::function<void(const std::string&,
                                            const std::string&,
                                            const Servers&)>& aVisit) const;

  /// Replaces the contents of `aDrawn` with distinct servers of `aService`,
  /// those of `aZone` first: all of them where `aSize` allows, otherwise a
  /// sample that `aHash` determines. Equal hashes yield equal samples.
  void Sample(std::string_view aService,
              std::string_view aZone,
              const SampleSize& aSize,
              std::uint64_t aHash,
              Servers& aDrawn) const;

  /// Replaces the contents of `aDrawn` with up to `aCount` distinct servers of
  /// `aService` in `aZone`; see Sample.
  void SampleZone(std::string_view aService,
                  std::string_view aZone,
                  std::size_t aCount,
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
