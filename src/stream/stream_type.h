/** @file stream_type.h Records of streams that callers may take up again after they broke off. */
#pragma once

#include "core/codec_func.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <deque>
#include <map>
#include <string>

namespace bilberry {

/** Time that the record of a stream is kept, in cluster time from its creation; longer than a
 * stream and all its take-ups last. */
constexpr Duration STREAM_RETENTION = std::chrono::minutes(10);
/** Beyond this number, the oldest record is removed; its stream can not be taken up any more. */
constexpr std::size_t MAX_STREAM_RECORDS = 50'000;
constexpr std::size_t MAX_STREAM_ID_BYTES = 128; ///< Longer ids of callers are not recorded.

/** Identifies a stream over all attempts of its caller. */
struct StreamId
{
    AccountId account; ///< Empty on open routes.
    std::string request; ///< Caller's id of the request that began the stream.

    friend bool operator==(const StreamId &, const StreamId &) = default;
    friend auto operator<=>(const StreamId &, const StreamId &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StreamId, account, request)

/** Software that writes a stream. The text of two versions does not fit together. */
struct StreamOrigin
{
    std::string service; ///< Service of the targets.
    std::string version; ///< TargetAnnouncement::softwareVersion of the targets.

    friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StreamOrigin, service, version)

/** The one request, in one run of a host, that may change the origin of its stream. */
struct StreamOwner
{
    HostId host;
    std::uint64_t run = 0; ///< Run (process incarnation) of the host.
    RequestId request;

    friend bool operator==(const StreamOwner &, const StreamOwner &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StreamOwner, host, run, request)

/** Record of one stream, made before its caller can have an event of it. */
struct StreamRecord
{
    StreamOrigin origin;
    StreamOwner owner;
    std::uint64_t revision = 0; ///< Increases with each origin that the owner names.
    Duration created{}; ///< Cluster time.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StreamRecord, origin, owner, revision, created)

/** All records of streams. */
struct StreamTable
{
    std::map<StreamId, StreamRecord> records;
    std::deque<StreamId> order; ///< Keys of @c records, oldest first.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StreamTable, records, order)

} // namespace bilberry
