/** @file ranked_queue_func.h Order of queued requests by rank, time left and fair share. */
#pragma once

#include "queue/fair_queue_func.h"

#include <utility>
#include <vector>

namespace bilberry {

/** Adds a request. @param front Puts it before the others of its flow and group. */
void enqueueRanked(RankedQueue &queue, const QueueEntry &entry, bool front);

/** Removes a request. @return False if it is not queued. */
bool removeRanked(RankedQueue &queue, const QueueEntry &entry);

/**
 * Removes the next request for which @p ready returns true. Ranks that are owed a pick come first,
 * then the rank whose first request has the lowest place. Within a rank, pressing requests come
 * before patient ones and those before late ones, each by the fair order of the accounts.
 */
std::optional<QueueEntry>
dequeueRanked(RankedQueue &queue,
              const std::function<bool(const WorkGroup &, WorkClass, RequestId)> &ready,
              TimePoint now);

/** @return As countQueuedAhead(): requests of the group of higher ranks, and of the own rank by
 * fair share. */
double countRankedAhead(const RankedQueue &queue, const QueueEntry &entry,
                        const std::function<double(const AccountId &)> &weightOf);

/** @return Queued requests that can no longer meet their deadline. */
std::vector<RequestId> findTooLate(RankedQueue &queue, TimePoint now);

/**
 * @return The queued request of the group with the lowest rank and, within it, the latest
 * StartLimits::last, and that time; nothing if the group has none.
 * @param mayRefuse Returns whether the request may be chosen.
 */
std::optional<std::pair<RequestId, TimePoint>>
findLastInOrder(const RankedQueue &queue, const WorkGroup &group,
                const std::function<bool(RequestId)> &mayRefuse);

} // namespace bilberry
