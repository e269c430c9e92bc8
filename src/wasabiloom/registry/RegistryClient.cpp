#include "wasabiloom/registry/RegistryClient.h"

namespace wasabiloom::registry {

RegistryClient::~RegistryClient() = default;

} // namespace wasabiloom::registry
