/** @file call_type.h Records of calls that may not be repeated. */
#pragma once

#include "core/codec_func.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>

namespace bilberry {

constexpr Duration CALL_RETENTION = std::chrono::hours(24); ///< Cluster time a record is kept.
constexpr std::size_t MAX_CALLS_PER_ACCOUNT = 20'000;
constexpr std::size_t MAX_STORED_ANSWER_BYTES = 64 << 10;

/** Names a call across resends. */
struct CallId
{
    AccountId account;
    std::string idempotencyKey;

    friend bool operator==(const CallId &, const CallId &) = default;
    friend auto operator<=>(const CallId &, const CallId &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallId, account, idempotencyKey)

/** The one dispatch of a call: which request of which host run. */
struct CallOwner
{
    HostId host;
    std::uint64_t run = 0;
    RequestId request;

    friend bool operator==(const CallOwner &, const CallOwner &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallOwner, host, run, request)

/** Answer of a target, kept for resends. */
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool truncated = false; ///< Body larger than MAX_STORED_ANSWER_BYTES; only the status is kept.

    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StoredAnswer, status, contentType, body, truncated)

enum class CallStatus {
    Running,
    Done, ///< The target answered; the answer is stored.
    Undetermined, ///< May have run; nobody will ever know here.
};
NLOHMANN_JSON_SERIALIZE_ENUM(CallStatus,
                             {{CallStatus::Running, "running"},
                              {CallStatus::Done, "done"},
                              {CallStatus::Undetermined, "undetermined"}})

struct CallRecord
{
    Digest body;
    CallOwner owner;
    CallStatus status = CallStatus::Running;
    StoredAnswer answer;
    Duration created{}; ///< Cluster time.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallRecord, body, owner, status, answer, created)

/** All records, by account and idempotency key. */
struct CallTable
{
    std::map<CallId, CallRecord> records;
    std::map<AccountId, std::size_t> counts; ///< Records of each account.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallTable, records, counts)

/** What a host may do with a call. */
enum class CallVerdict {
    Dispatch, ///< Recorded; this host alone may send it, once.
    Join, ///< Runs elsewhere; the outcome will follow.
    Replay, ///< Done; the stored answer goes to the caller.
    MayHaveRun, ///< Undetermined.
    OtherBody, ///< The same idempotency key came with another body.
    TableFull, ///< Too many records of the account; not run.
};
NLOHMANN_JSON_SERIALIZE_ENUM(CallVerdict,
                             {{CallVerdict::Dispatch, "dispatch"},
                              {CallVerdict::Join, "join"},
                              {CallVerdict::Replay, "replay"},
                              {CallVerdict::MayHaveRun, "mayHaveRun"},
                              {CallVerdict::OtherBody, "otherBody"},
                              {CallVerdict::TableFull, "tableFull"}})

/** How a dispatched call ended. */
enum class CallEnd {
    Answered,
    NotRun, ///< Nothing was sent, or the target said so; the record is dropped.
    Lost, ///< May have run.
};
NLOHMANN_JSON_SERIALIZE_ENUM(CallEnd,
                             {{CallEnd::Answered, "answered"},
                              {CallEnd::NotRun, "notRun"},
                              {CallEnd::Lost, "lost"}})

} // namespace bilberry
