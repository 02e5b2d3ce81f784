/** @file call_type.h Records of calls that are not idempotent. */
#pragma once

#include "core/codec_func.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>

namespace bilberry {

constexpr Duration CALL_RETENTION = std::chrono::hours(
    24); ///< Time that the record of an ended call is kept, in cluster time from its creation.
constexpr std::size_t MAX_CALL_RECORDS_PER_ACCOUNT = 20'000; ///< Records kept for one account.
constexpr std::size_t MAX_STORED_ANSWER_BYTES = 64 << 10; ///< Largest stored answer.
/** Bytes of stored answers of one account: 20,000 records with about 200 bytes each. */
constexpr std::size_t MAX_STORED_BYTES_PER_ACCOUNT = 4 << 20;
/**
 * Bytes of stored answers of all accounts. While a member, which has 256 MB, encodes a snapshot, it
 * may hold about eight times as many: the table, its JSON form, the preceding snapshot, a log of
 * two snapshot sizes, and the new encoding, whose buffer doubles and is copied when it is full.
 */
constexpr std::size_t MAX_STORED_BYTES = 16 << 20;

/** Identifies a call across resends. */
struct CallId
{
    AccountId account;
    std::string idempotencyKey; ///< Chosen by the caller; unique within the account.

    friend bool operator==(const CallId &, const CallId &) = default;
    friend auto operator<=>(const CallId &, const CallId &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallId, account, idempotencyKey)

/** Owner of a call: the one request, in one run of a host, that may dispatch the call. */
struct CallOwner
{
    HostId host;
    std::uint64_t run = 0; ///< Run (process incarnation) of the host.
    RequestId request;

    friend bool operator==(const CallOwner &, const CallOwner &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallOwner, host, run, request)

/** Answer of a target, stored to be replayed to resends. */
struct StoredAnswer
{
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;
    bool truncated = false; ///< Body and content type exceeded a bound and were dropped.

    friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StoredAnswer, status, contentType, body, truncated)

/** State of a recorded call. */
enum class CallStatus {
    Running, ///< Recorded; the call may have been sent to the target.
    Done, ///< The target answered; the answer is stored.
    Undetermined, ///< The outcome was lost; the call may have run.
};
NLOHMANN_JSON_SERIALIZE_ENUM(CallStatus,
                             {{CallStatus::Running, "running"},
                              {CallStatus::Done, "done"},
                              {CallStatus::Undetermined, "undetermined"}})

/** Record of one call. */
struct CallRecord
{
    Digest body; ///< Digest of the request body.
    CallOwner owner;
    CallStatus status = CallStatus::Running;
    StoredAnswer answer; ///< Set once the status is Done.
    Duration created{}; ///< Cluster time of the first request.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallRecord, body, owner, status, answer, created)

/** All call records. */
struct CallTable
{
    std::map<CallId, CallRecord> records;
    std::map<AccountId, std::size_t> counts; ///< Number of records of each account.
    /** Bytes of the stored answers of each account that has any; derived from the records. */
    std::map<AccountId, std::size_t> storedBytes;
    std::size_t totalStoredBytes = 0; ///< Sum of storedBytes.
};

/** Writes the records and their counts, as releases without storedBytes do. */
void to_json(nlohmann::json &json, const CallTable &table);

/** Reads the records and their counts, and derives the bytes of the stored answers. */
void from_json(const nlohmann::json &json, CallTable &table);

/** Decision on a host's request to dispatch a call. */
enum class CallVerdict {
    Dispatch, ///< Recorded; only this host may send the call, once.
    Join, ///< Already running for an earlier request; the outcome will follow.
    Replay, ///< Done; the caller gets the stored answer.
    MayHaveRun, ///< Undetermined; the caller is told that the call may have run.
    IdempotencyConflict, ///< The idempotency key is in use for a different body.
    TableFull, ///< The account has MAX_CALL_RECORDS_PER_ACCOUNT records; the call is not run.
};
NLOHMANN_JSON_SERIALIZE_ENUM(CallVerdict,
                             {{CallVerdict::Dispatch, "dispatch"},
                              {CallVerdict::Join, "join"},
                              {CallVerdict::Replay, "replay"},
                              {CallVerdict::MayHaveRun, "mayHaveRun"},
                              {CallVerdict::IdempotencyConflict, "otherBody"},
                              {CallVerdict::TableFull, "tableFull"}})

/** How a dispatched call ended. */
enum class CallEnd {
    Answered, ///< The target answered.
    NotRun, ///< Not sent, or the target reported that it did not run; the record is removed.
    Lost, ///< No answer was received; the call may have run.
};
NLOHMANN_JSON_SERIALIZE_ENUM(CallEnd,
                             {{CallEnd::Answered, "answered"},
                              {CallEnd::NotRun, "notRun"},
                              {CallEnd::Lost, "lost"}})

} // namespace bilberry
