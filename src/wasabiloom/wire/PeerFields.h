/// Protobuf fields that several peer messages share.
#pragma once

#include "wasabiloom/peer/Messages.h"

#include "generated/peer.pb.h"

#include <vector>

namespace wasabiloom::wire {

using FlowRuns = google::protobuf::RepeatedPtrField<FlowRun>;
using RowRuns = google::protobuf::RepeatedPtrField<RowRun>;

/// Raised by the Get functions for values that Put cannot have written;
/// DecodePeer turns it into a Result.
class Malformed
{};

/// Throws Malformed unless `aCondition` holds. Thread safe.
void
Require(bool aCondition);

/// Each Put writes a value, each Get reads it back or throws Malformed. All
/// are thread safe.
void
Put(Shard* aOut, const steering::ShardKey& aKey);

steering::ShardKey
Get(const Shard& aIn);

void
Put(TableVersion* aOut, const steering::TableVersion& aVersion);

steering::TableVersion
Get(const TableVersion& aIn);

void
Put(FlowRuns* aOut, const std::vector<steering::PinnedFlow>& aFlows);

std::vector<steering::PinnedFlow>
Get(const FlowRuns& aIn);

void
Put(RowRuns* aOut, const std::vector<steering::RowMove>& aMoves);

std::vector<steering::RowMove>
Get(const RowRuns& aIn);

} // namespace wasabiloom::wire
