/** @file stream_func.h Operations on the records of streams. */
#pragma once

#include "stream/stream_type.h"

#include <optional>

namespace bilberry {

/**
 * Records which software is to write a stream. The owner of a record may change it, as it knows
 * that its caller has no event yet; for anyone else the first record holds.
 * @param revision Number of this change; a change with a lower one is late and has no effect.
 * @param clock Cluster time.
 * @return The origin that holds.
 */
StreamOrigin recordStream(StreamTable &table, const StreamId &id, const StreamOrigin &origin,
                          const StreamOwner &owner, std::uint64_t revision, Duration clock);

/** @return Origin of a recorded stream; nothing if there is no record of it. */
std::optional<StreamOrigin> findStream(const StreamTable &table, const StreamId &id);

/** Removes the records that are older than STREAM_RETENTION. @param clock Cluster time. */
void expireStreams(StreamTable &table, Duration clock);

} // namespace bilberry
