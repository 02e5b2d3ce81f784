/** @file store_pace_func.h Learns how many loads the weight store serves at full speed. */
#pragma once

#include "placement/store_pace_base.h"

namespace bilberry {

/** @return Number of loads that may run at once: the estimate, from 1 to @p most. */
int storeParallelism(const StorePace &pace, int most);

/**
 * Notes that a load from the weight store is under way.
 * @param expected Time of the load at full speed; 0: unknown, so that nothing is learnt from it.
 * @param startedAt Time at which the target accepted the order, at most @p now.
 * @param measured False if the load may have begun before @p startedAt.
 */
void beginStoreLoad(StorePace &pace, const std::string &id, Duration expected, TimePoint startedAt,
                    bool measured, TimePoint now);

/** Learns from a load that the target has announced as done. @param most Upper limit of the
 * parallelism. */
void finishStoreLoad(StorePace &pace, const std::string &id, int most, TimePoint now);

/** Forgets a load that failed or was lost; nothing is learnt from it. */
void dropStoreLoad(StorePace &pace, const std::string &id, TimePoint now);

/** Lets the estimate return to @p most and the slowness to 1, so that a wrong value is tried
 * again. */
void decayStorePace(StorePace &pace, int most, TimePoint now);

/** @return Work left of a load under way, as the time that it takes at full speed; 0 if the load
 * takes longer than expected. */
Duration workLeft(const StorePace &pace, const StoreLoad &load, int most, TimePoint now);

/**
 * @return Number of loads whose announcement is due: by the pace, they no longer use the store. A
 * load that stays overdue does not count.
 */
int countEndingLoads(const StorePace &pace, int most, TimePoint now);

/** @return Time since the start of a load under way. */
Duration ageOf(const StorePace &pace, const StoreLoad &load, TimePoint now);

} // namespace bilberry
