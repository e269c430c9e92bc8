#include "wasabiloom/packet/TokenCodec.h"

namespace wasabiloom::packet {

TokenCodec::~TokenCodec() = default;

} // namespace wasabiloom::packet
