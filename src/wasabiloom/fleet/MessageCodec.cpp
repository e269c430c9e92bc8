#include "wasabiloom/fleet/MessageCodec.h"

#include "wasabiloom/registry/FactsCodec.h"

#include <nlohmann/json.hpp>

namespace wasabiloom::fleet {

namespace {

using nlohmann::json;

constexpr int kFormat = 1;

json
Write(const Member& aMember)
{
  return { aMember.m_address.m_bits,
           aMember.m_zone,
           aMember.m_incarnation,
           static_cast<int>(aMember.m_standing) };
}

Member
ReadMember(const json& aValue)
{
  const int standing = aValue.at(3).get<int>();
  if (standing < 0 || standing > static_cast<int>(Standing::Gone)) {
    throw std::invalid_argument("unknown standing");
  }
  return { { aValue.at(0).get<std::uint32_t>() },
           aValue.at(1).get<std::string>(),
           aValue.at(2).get<std::uint64_t>(),
           static_cast<Standing>(standing) };
}

/// Writes each content as an array; its place in the variant tells the kind.
struct ContentWriter
{
  json operator()(const Probe& aProbe) const
  {
    return { aProbe.m_sequence, aProbe.m_wantsAll };
  }
  json operator()(const ProbeAnswer& aAnswer) const
  {
    return json::array({ aAnswer.m_sequence });
  }
  json operator()(const ProbeRequest& aRequest) const
  {
    return { aRequest.m_sequence, aRequest.m_target.m_bits };
  }
  json operator()(const Roll& /*aRoll*/) const { return json::array(); }
  json operator()(const registry::News& aNews) const
  {
    const std::string bytes = registry::EncodeNews(aNews);
    return json::array({ json::binary({ bytes.begin(), bytes.end() }) });
  }
};

registry::News
ReadNews(const json& aValue)
{
  const auto& bytes = aValue.at(0).get_binary();
  return base::Handle(
    [&] {
      return registry::DecodeNews(
        { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    },
    [](const base::Problem& aProblem) -> registry::News {
      throw std::invalid_argument(aProblem.m_detail);
    });
}

Content
ReadContent(std::size_t aKind, const json& aValue)
{
  switch (aKind) {
    case 0:
      return Probe{ aValue.at(0).get<std::uint32_t>(),
                    aValue.at(1).get<bool>() };
    case 1:
      return ProbeAnswer{ aValue.at(0).get<std::uint32_t>() };
    case 2:
      return ProbeRequest{ aValue.at(0).get<std::uint32_t>(),
                           { aValue.at(1).get<std::uint32_t>() } };
    case 3:
      return Roll{};
    case 4:
      return ReadNews(aValue);
    default:
      throw std::invalid_argument("unknown kind of message");
  }
}

} // namespace

std::string
EncodeMessage(const Message& aMessage)
{
  json updates = json::array();
  for (const Member& member : aMessage.m_updates) {
    updates.push_back(Write(member));
  }
  const json message = { kFormat,
                         Write(aMessage.m_sender),
                         updates,
                         aMessage.m_content.index(),
                         std::visit(ContentWriter{}, aMessage.m_content) };
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

base::Result<Message>
DecodeMessage(std::string_view aBytes)
{
  try {
    const json value = json::from_cbor(aBytes.begin(), aBytes.end());
    if (value.at(0).get<int>() != kFormat) {
      return base::Fail(base::ResultCode::PeerMessageMalformed,
                        "message of another format");
    }
    Message message;
    message.m_sender = ReadMember(value.at(1));
    for (const json& member : value.at(2)) {
      message.m_updates.push_back(ReadMember(member));
    }
    message.m_content =
      ReadContent(value.at(3).get<std::size_t>(), value.at(4));
    return message;
  } catch (const std::exception& failure) {
    return base::Fail(base::ResultCode::PeerMessageMalformed, failure.what());
  }
}

} // namespace wasabiloom::fleet
