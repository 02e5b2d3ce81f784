/** @file progress.cpp Flow control of the entries that the leader sends to a member. */
#include "consensus/progress_func.h"

#include <algorithm>

namespace bilberry {

namespace {

void clearInFlight(ReplicationProgress &progress)
{
    progress.inFlight.clear();
    progress.bytesInFlight = 0;
}

/** Ends the account of the entries up to @p match. */
void confirmEntries(ReplicationProgress &progress, LogIndex match)
{
    while (!progress.inFlight.empty() && progress.inFlight.front().last <= match) {
        progress.bytesInFlight -= progress.inFlight.front().bytes;
        progress.inFlight.pop_front();
    }
}

/** @return Whether the reply shows where the member's log matches, so that entries may follow. */
bool endsSearch(const ReplicationProgress &progress, const AppendReply &reply,
                LogIndex snapshotIndex)
{
    switch (progress.state) {
    case ProgressState::Probe:
        return reply.sentAt >= progress.probeSince;
    case ProgressState::Snapshot:
        return reply.match >= snapshotIndex;
    case ProgressState::Replicate:
        break;
    }
    return false;
}

} // namespace

bool maySendEntries(const ReplicationProgress &progress)
{
    return progress.state == ProgressState::Replicate
        && progress.bytesInFlight < MAX_BYTES_IN_FLIGHT;
}

void recordEntriesSent(ReplicationProgress &progress, LogIndex last, std::size_t bytes)
{
    progress.next = last + 1;
    progress.inFlight.push_back({last, bytes});
    progress.bytesInFlight += bytes;
}

void startProbe(ReplicationProgress &progress, LogIndex next, TimePoint now)
{
    progress.state = ProgressState::Probe;
    progress.next = next;
    progress.probeSince = now;
    clearInFlight(progress);
}

void startSnapshot(ReplicationProgress &progress, TimePoint now)
{
    progress.state = ProgressState::Snapshot;
    progress.snapshotSentAt = now;
    clearInFlight(progress);
}

bool isSnapshotLost(const ReplicationProgress &progress, TimePoint now)
{
    // A member that has answered no later request is cut off, or still receives the snapshot.
    return progress.lastAcknowledgedSendTime > progress.snapshotSentAt
        && now >= progress.snapshotSentAt + SNAPSHOT_RESEND_INTERVAL;
}

void recordSuccess(ReplicationProgress &progress, const AppendReply &reply, LogIndex snapshotIndex)
{
    const bool found = endsSearch(progress, reply, snapshotIndex);
    progress.match = std::max(progress.match, reply.match);
    confirmEntries(progress, progress.match);
    progress.next = std::max(progress.next, progress.match + 1);
    if (!found)
        return;
    progress.state = ProgressState::Replicate;
    progress.next = progress.match + 1;
}

bool recordRejection(ReplicationProgress &progress, const AppendReply &reply, TimePoint now)
{
    if (progress.state == ProgressState::Snapshot || reply.sentAt < progress.probeSince)
        return false;
    const LogIndex next = std::min(reply.match + 1, progress.next);
    startProbe(progress, std::max(next, progress.match + 1), now);
    return true;
}

} // namespace bilberry
