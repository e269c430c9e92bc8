#include "wasabiloom/fleet/MessageCodec.h"

#include "generated/fleet.pb.h"
#include "wasabiloom/base/Frame.h"
#include "wasabiloom/fleet/LoadReportCodec.h"
#include "wasabiloom/registry/FactsCodec.h"

#include <algorithm>
#include <stdexcept>

namespace wasabiloom::fleet {

namespace {

namespace wire = fleet_wire;

constexpr std::uint8_t kFormat = 2;

/// Returns the index of `aZone` in the message's list of zones; appends it if
/// it is missing.
std::uint32_t
PlaceOf(const std::string& aZone, wire::Message& aMessage)
{
  const auto& zones = aMessage.zones();
  const auto found = std::find(zones.begin(), zones.end(), aZone);
  if (found == zones.end()) {
    aMessage.add_zones(aZone);
    return static_cast<std::uint32_t>(zones.size() - 1);
  }
  return static_cast<std::uint32_t>(found - zones.begin());
}

void
Write(const Member& aMember, wire::Member& aOut, wire::Message& aMessage)
{
  aOut.set_address(aMember.m_address.m_bits);
  aOut.set_zone(PlaceOf(aMember.m_zone, aMessage));
  aOut.set_incarnation(aMember.m_incarnation);
  aOut.set_standing(static_cast<std::uint32_t>(aMember.m_state));
  aOut.set_capacity(aMember.m_capacity);
}

Member
Read(const wire::Member& aMember, const wire::Message& aMessage)
{
  const bool isZoneListed =
    aMember.zone() < static_cast<std::uint32_t>(aMessage.zones_size());
  if (!isZoneListed ||
      aMember.standing() > static_cast<std::uint32_t>(MemberState::Gone)) {
    throw std::invalid_argument("member has an unknown zone index or standing");
  }
  return { { aMember.address() },
           aMessage.zones(static_cast<int>(aMember.zone())),
           aMember.incarnation(),
           static_cast<MemberState>(aMember.standing()),
           aMember.capacity() };
}

/// Writes each kind of content into its field of the message.
struct ContentWriter
{
  wire::Message& m_out;

  void operator()(const Probe& aProbe) const
  {
    wire::Probe& out = *m_out.mutable_probe();
    out.set_sequence(aProbe.m_sequence);
    out.set_wants_all(aProbe.m_wantsAll);
  }
  void operator()(const ProbeAnswer& aAnswer) const
  {
    m_out.mutable_answer()->set_sequence(aAnswer.m_sequence);
  }
  void operator()(const ProbeRequest& aRequest) const
  {
    wire::ProbeRequest& out = *m_out.mutable_request();
    out.set_sequence(aRequest.m_sequence);
    out.set_target(aRequest.m_target.m_bits);
  }
  void operator()(const MemberList& /*aRoll*/) const { m_out.mutable_roll(); }
  void operator()(const RelayedUpdate& aRelayed) const
  {
    wire::RelayedNews& out = *m_out.mutable_news();
    out.set_news(registry::EncodeUpdate(aRelayed.m_update));
    out.set_to_zone(aRelayed.m_toZone);
    for (const base::Ipv4Address address : aRelayed.m_passTo) {
      out.add_pass_to(address.m_bits);
    }
  }
  void operator()(const FactsWanted& /*aWanted*/) const
  {
    m_out.mutable_wanted();
  }
  void operator()(const FactsKnown& /*aKnown*/) const { m_out.mutable_known(); }
  void operator()(const Providers& aProviders) const
  {
    wire::Tellers& out = *m_out.mutable_tellers();
    for (const base::Ipv4Address address : aProviders.m_addresses) {
      out.add_addresses(address.m_bits);
    }
    out.set_listing(aProviders.m_listersBefore);
    out.set_waits(aProviders.m_awaitsConfiguration);
  }
  void operator()(const RegistrySilent& /*aSilent*/) const
  {
    m_out.mutable_silent();
  }
  void operator()(const LoadReport& aReport) const
  {
    WriteLoadReport(aReport, m_out);
  }
};

registry::RegistryUpdate
ReadNews(const std::string& aBytes)
{
  return base::Handle(
    [&] { return registry::DecodeUpdate(aBytes); },
    [](const base::Problem& aProblem) -> registry::RegistryUpdate {
      throw std::invalid_argument(aProblem.m_detail);
    });
}

template<typename Words>
std::vector<base::Ipv4Address>
ReadAddresses(const Words& aWords)
{
  std::vector<base::Ipv4Address> addresses;
  for (const std::uint32_t word : aWords) {
    addresses.push_back({ word });
  }
  return addresses;
}

Content
ReadContent(const wire::Message& aMessage)
{
  switch (aMessage.content_case()) {
    case wire::Message::kProbe:
      return Probe{ aMessage.probe().sequence(), aMessage.probe().wants_all() };
    case wire::Message::kAnswer:
      return ProbeAnswer{ aMessage.answer().sequence() };
    case wire::Message::kRequest:
      return ProbeRequest{ aMessage.request().sequence(),
                           { aMessage.request().target() } };
    case wire::Message::kRoll:
      return MemberList{};
    case wire::Message::kNews:
      return RelayedUpdate{ ReadNews(aMessage.news().news()),
                            aMessage.news().to_zone(),
                            ReadAddresses(aMessage.news().pass_to()) };
    case wire::Message::kWanted:
      return FactsWanted{};
    case wire::Message::kKnown:
      return FactsKnown{};
    case wire::Message::kTellers:
      return Providers{ ReadAddresses(aMessage.tellers().addresses()),
                        aMessage.tellers().listing(),
                        aMessage.tellers().waits() };
    case wire::Message::kSilent:
      return RegistrySilent{};
    case wire::Message::kLoad:
      return ReadLoadReport(aMessage);
    case wire::Message::CONTENT_NOT_SET:
      break;
  }
  throw std::invalid_argument("message has no content of a known kind");
}

} // namespace

std::string
EncodeMessage(const Message& aMessage)
{
  wire::Message message;
  Write(aMessage.m_sender, *message.mutable_sender(), message);
  for (const Member& member : aMessage.m_updates) {
    Write(member, *message.add_updates(), message);
  }
  std::visit(ContentWriter{ message }, aMessage.m_content);
  return base::Seal(kFormat, message.SerializeAsString());
}

base::Result<Message>
DecodeMessage(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(body, base::Unseal(kFormat, aBytes));
  try {
    wire::Message read;
    if (!read.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
      throw std::invalid_argument("bytes do not decode as a fleet message");
    }
    Message message;
    message.m_sender = Read(read.sender(), read);
    for (const wire::Member& member : read.updates()) {
      message.m_updates.push_back(Read(member, read));
    }
    message.m_content = ReadContent(read);
    return message;
  } catch (const std::exception& failure) {
    return base::Fail(base::ResultCode::PeerMessageMalformed, failure.what());
  }
}

} // namespace wasabiloom::fleet
