/// Benchmarks with bounds taken from the users' targets. Exits non-zero when
/// a bound is broken.

#include "LoneHost.h"

int
main()
{
  bool held = wasabiloom::bench::RunDecisionBench();
  held = wasabiloom::bench::RunFactsBench() && held;
  held = wasabiloom::bench::RunRelayBench() && held;
  return held ? 0 : 1;
}
