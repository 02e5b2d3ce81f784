/** @file progress_base.h Replication progress of a member, as the leader knows it. */
#pragma once

#include "consensus/replica_type.h"

#include <deque>

namespace bilberry {

/** Bound of the bytes of entries that a member has not answered; a larger entry is sent alone. */
constexpr std::size_t MAX_BYTES_IN_FLIGHT = 512 << 10;
/** Time after which a snapshot is resent to a member that has answered later requests only. */
constexpr Duration SNAPSHOT_RESEND_INTERVAL = 2s;

/** What the leader sends to a member. */
enum class ProgressState {
    Replicate, ///< Entries, ahead of the replies to earlier ones.
    Probe, ///< Requests without entries, until one shows where the member's log matches.
    Snapshot, ///< A snapshot that the member has not confirmed, and heartbeats.
};

/** Entries of one request that the member has not confirmed. */
struct EntriesInFlight
{
    LogIndex last = 0; ///< Index of the last one.
    std::size_t bytes = 0;
};

/** Replication progress of one other member, as the leader knows it. */
struct ReplicationProgress
{
    ProgressState state = ProgressState::Replicate;
    LogIndex match = 0; ///< Last index known to be on the member's disk.
    LogIndex next = 1; ///< Index of the next entry to send.
    TimePoint
        lastAcknowledgedSendTime; ///< Send time of the latest request that the member has answered.
    std::optional<TimePoint> lastAnswerAt; ///< Receipt of the latest answer in this term, if any.
    TimePoint probeSince; ///< Rejections of requests that were sent before are outdated.
    TimePoint snapshotSentAt; ///< Send time of the last snapshot; in state Snapshot only.
    std::deque<EntriesInFlight> inFlight; ///< Oldest first; in state Replicate only.
    std::size_t bytesInFlight = 0; ///< Sum of @c inFlight.
};

} // namespace bilberry
