/** @file statement_cmd.cpp Applies what targets state about themselves in their answers. */
#include "host/host_internal.h"

namespace bilberry {

void onTargetStated(Host &host, const TargetStated &stated, HostEffects &, TimePoint)
{
    const TargetStatement &statement = stated.statement;
    host.counters.leavingStated += statement.leaving ? 1 : 0;
    host.counters.quietStated += statement.quietFor ? 1 : 0;
    host.counters.rateStated += statement.requestRate ? 1 : 0;
}

} // namespace bilberry
