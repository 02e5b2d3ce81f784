/** @file fair_queue_func.h Weighted fair order between accounts, interactive before bulk. */
#pragma once

#include "queue/fair_queue_base.h"

#include <functional>
#include <optional>

namespace bilberry {

/** Place of a request in the queue. */
struct QueueEntry
{
    RequestId request;
    AccountId account;
    WorkGroup group;
    WorkClass workClass = WorkClass::Interactive;
};

/** Adds a request at the end of its flow, or in front if it was picked before. */
void enqueue(FairQueue &queue, const QueueEntry &entry, bool front = false);

/** Removes a request that waits. @return False if it does not wait. */
bool removeWaiting(FairQueue &queue, const QueueEntry &entry);

/**
 * Removes the request that goes next among those for which @p ready holds.
 * @param ready Whether a target could take the group now in that class.
 */
std::optional<QueueEntry>
pickNext(FairQueue &queue,
         const std::function<bool(const WorkGroup &, WorkClass, RequestId)> &ready);

/** Charges work to an account; negative to correct an estimate that was too high. */
void charge(FairQueue &queue, WorkClass workClass, const AccountId &account, double work,
            double weight);

/**
 * @param weightOf Weight of an account.
 * @return Requests of the group that would be picked before a new one of the account.
 */
double waitingAhead(const FairQueue &queue, const QueueEntry &entry,
                    const std::function<double(const AccountId &)> &weightOf);

/** @return Waiting requests of the group. */
std::size_t waitingIn(const FairQueue &queue, const WorkGroup &group);

} // namespace bilberry
