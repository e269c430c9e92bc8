/// Prints what concerns one flow.
#pragma once

#include "wasabiloom/base/Time.h"
#include "wasabiloom/peer/Messages.h"

#include <cstdint>
#include <string>

namespace wasabiloom::scenario {

/// Does nothing until it is started. One thread at a time.
class FlowTrace
{
public:
  /// Starts printing what concerns flow `aFlow` and its shard.
  void Start(std::int64_t aFlow, const steering::ShardKey& aShard);

  bool IsStarted() const { return m_flow >= 0; }

  /// Whether `aFlow` is the traced one.
  bool Follows(std::int64_t aFlow) const { return m_flow == aFlow; }

  /// Prints one line, if started.
  void Print(const std::string& aText, base::Instant aNow) const;

  /// Prints a message about the traced flow's shard, if started.
  void PrintMessage(const std::string& aFrom,
                    const std::string& aTo,
                    const peer::Message& aMessage,
                    base::Instant aNow) const;

private:
  std::int64_t m_flow = -1;
  steering::ShardKey m_shard;
};

} // namespace wasabiloom::scenario
