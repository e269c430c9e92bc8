/// Reads the members of an object and reports each misuse by key and line.
#pragma once

#include "wasabiloom/base/Endpoint.h"
#include "wasabiloom/base/Result.h"
#include "wasabiloom/jsonc/Node.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace wasabiloom::jsonc {

/// Builds "line L: KEY: aText" with `aCode`. Thread safe.
boost::leaf::error_id
FailAt(const Node& aNode, base::ResultCode aCode, const std::string& aText);

/// Typed access to one object. Every getter marks its key as known; Finish
/// refuses the keys that no getter asked for. One thread at a time; the node
/// must outlive the reader.
class ObjectReader
{
public:
  /// Errors: JsonWrongType when `aNode` is no object. Thread safe.
  static base::Result<ObjectReader> Open(const Node& aNode);

  /// Required member of any kind. Errors: JsonMissingKey.
  base::Result<const Node*> Member(std::string_view aKey);

  /// Member of any kind, or null when absent.
  const Node* OptionalMember(std::string_view aKey);

  /// Required text of 1 to 255 bytes. Errors: JsonMissingKey, JsonWrongType,
  /// JsonOutOfRange.
  base::Result<std::string> Text(std::string_view aKey);

  /// As Text, or `aDefault` when absent.
  base::Result<std::string> TextOr(std::string_view aKey,
                                   std::string_view aDefault);

  /// Text that must be one of `aChoices`; yields its index. Absent yields 0.
  base::Result<std::size_t> ChoiceOrFirst(
    std::string_view aKey,
    std::span<const std::string_view> aChoices);

  /// Required integer of `aLow` to `aHigh`.
  base::Result<std::int64_t> Integer(std::string_view aKey,
                                     std::int64_t aLow,
                                     std::int64_t aHigh);

  /// As Integer, or `aDefault` when absent.
  base::Result<std::int64_t> IntegerOr(std::string_view aKey,
                                       std::int64_t aLow,
                                       std::int64_t aHigh,
                                       std::int64_t aDefault);

  /// Whole or fractional number of `aLow` to `aHigh`, or `aDefault` when
  /// absent. Errors: JsonWrongType, JsonOutOfRange.
  base::Result<double> NumberOr(std::string_view aKey,
                                double aLow,
                                double aHigh,
                                double aDefault);

  /// Boolean, or `aDefault` when absent.
  base::Result<bool> FlagOr(std::string_view aKey, bool aDefault);

  /// Required "A.B.C.D:PORT".
  base::Result<base::Endpoint> EndpointAt(std::string_view aKey);

  /// Required "A.B.C.D".
  base::Result<base::Ipv4Address> AddressAt(std::string_view aKey);

  /// Required array.
  base::Result<const Elements*> Array(std::string_view aKey);

  /// Errors: JsonUnknownKey, naming the first key nobody asked for.
  base::Result<void> Finish() const;

private:
  explicit ObjectReader(const Node& aNode);

  const Node* m_node;
  std::set<std::string, std::less<>> m_known;
};

} // namespace wasabiloom::jsonc
