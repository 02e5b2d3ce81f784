/** @file fair_queue_func.h Weighted fair queueing of client accounts in two scheduling classes. */
#pragma once

#include "queue/fair_queue_base.h"

#include <functional>
#include <optional>

namespace bilberry {

/** A queued request with the flow and group in which it is queued. */
struct QueueEntry
{
    RequestId request;
    AccountId account;
    WorkGroup group;
    WorkClass workClass = WorkClass::Interactive;
    std::optional<int> rank{}; ///< Empty: ranks are not in use for the service.
    StartLimits limits{}; ///< Only with a rank; not needed to remove the request.
};

/**
 * Adds a request to the flow of its account and class.
 * @param front Puts the request before the others of its group; for requests that are queued again
 *        after an earlier dispatch.
 */
void enqueue(FairQueue &queue, const QueueEntry &entry, bool front = false);

/** Removes a request from the queue. @return False if the request is not queued. */
bool removeQueued(FairQueue &queue, const QueueEntry &entry);

/**
 * Removes the next request among those for which @p ready returns true: by class and fair share,
 * or, for services with ranks, by rank, time left and fair share within the rank.
 * @param ready Returns whether a target can take a request now; called with the first request of
 *        each group in a flow.
 * @return The removed request, or nothing if no queued request is ready.
 */
std::optional<QueueEntry>
dequeueNext(FairQueue &queue,
            const std::function<bool(const WorkGroup &, WorkClass, RequestId)> &ready,
            TimePoint now);

/**
 * Charges work to a flow, which moves the flow back in the fair order.
 * @param entry A request of the flow.
 * @param work Work in tokens, or an estimate of it; negative to refund an estimate that was too
 *        high.
 * @param weight Weight of the account; values below 0.01 count as 0.01.
 */
void chargeFlow(FairQueue &queue, const QueueEntry &entry, double work, double weight);

/**
 * Estimates the queue position of a new request.
 * @param entry The new request, not yet queued; only its account, group and class are used.
 * @param weightOf Returns the weight of an account.
 * @return Queued requests of the same group that are picked before the new request: all earlier
 *         ones of the account, those of other accounts up to their weighted share, and for a bulk
 *         request also all interactive ones; for a request with a rank also all of higher ranks.
 */
double countQueuedAhead(const FairQueue &queue, const QueueEntry &entry,
                        const std::function<double(const AccountId &)> &weightOf);

/** @return Whether the request, not yet queued, has a rank and is of a higher one than all queued
 * requests of its service. */
bool isFirstOfRank(const FairQueue &queue, const QueueEntry &entry);

/** @return Number of queued requests of the group, in both classes. */
std::size_t countQueued(const FairQueue &queue, const WorkGroup &group);

} // namespace bilberry
