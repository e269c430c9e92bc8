#include "wasabiloom/request/RequestSink.h"

namespace wasabiloom::request {

RequestSink::~RequestSink() = default;

} // namespace wasabiloom::request
