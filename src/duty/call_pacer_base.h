/** @file call_pacer_base.h Pace of the leader's calls to the infrastructure. */
#pragma once

#include "core/time_type.h"

namespace bilberry {

/** Token bucket and back-off of the calls that one leader makes. Soft state of the leader. */
struct CallPacer
{
    double callsPerSecond = 0; ///< Refill rate; other leaders may have made calls just before.
    double tokens = 0; ///< Calls that may be made now; at most a second's worth.
    TimePoint refilledAt;
    TimePoint notBefore; ///< End of the back-off.
    Duration backoff{}; ///< Length of the latest back-off; 0 after an accepted call.
};

} // namespace bilberry
