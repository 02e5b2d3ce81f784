/** @file progress_func.h Flow control of the entries that the leader sends to a member. */
#pragma once

#include "consensus/progress_base.h"

namespace bilberry {

/** @return Whether the next request to the member may have entries. */
bool maySendEntries(const ReplicationProgress &progress);

/** Records that entries up to @p last were sent. */
void recordEntriesSent(ReplicationProgress &progress, LogIndex last, std::size_t bytes);

/** Starts to look for the end of the matching log, first at the entry before @p next. */
void startProbe(ReplicationProgress &progress, LogIndex next, TimePoint now);

/** Records that a snapshot was sent. */
void startSnapshot(ReplicationProgress &progress, TimePoint now);

/** @return Whether the snapshot is lost, so that it has to be sent again. */
bool isSnapshotLost(const ReplicationProgress &progress, TimePoint now);

/**
 * Records a successful reply.
 * @param snapshotIndex Index of the leader's snapshot.
 */
void recordSuccess(ReplicationProgress &progress, const AppendReply &reply, LogIndex snapshotIndex);

/**
 * Records that the member's log does not match a request.
 * @return Whether a new probe has to be sent; false if the rejection is outdated.
 */
bool recordRejection(ReplicationProgress &progress, const AppendReply &reply, TimePoint now);

} // namespace bilberry
