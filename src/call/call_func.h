/** @file call_func.h Records calls so that each is dispatched at most once. */
#pragma once

#include "call/call_type.h"

#include <string_view>
#include <vector>

namespace bilberry {

/**
 * Records a call before its dispatch, or finds the record of an earlier request.
 * @param id Account and idempotency key of the call.
 * @param body Digest of the request body; must be that of the record.
 * @param owner Host run and request that ask to dispatch the call.
 * @param clock Cluster time.
 * @return Dispatch only for the owner of the record, also on a repeated request. Other verdicts
 *         tell why the call must not be dispatched.
 */
CallVerdict beginCall(CallTable &table, const CallId &id, const Digest &body,
                      const CallOwner &owner, Duration clock);

/**
 * Records the end of a call. An answer also ends a call that is already undetermined.
 * @return False, without any change, if the call has no record, has another owner or has ended
 *         before.
 */
bool endCall(CallTable &table, const CallId &id, const CallOwner &owner, CallEnd end,
             StoredAnswer answer);

/**
 * @return The answer to be stored; one over MAX_STORED_ANSWER_BYTES without content type and body,
 *         so that no host or member gets bytes that endCall() would drop.
 */
StoredAnswer makeStoredAnswer(int status, std::string_view contentType, std::string_view body);

/**
 * Marks all running calls of a host run that has ended as undetermined.
 * @return Ids of these calls.
 */
std::vector<CallId> markOwnerLost(CallTable &table, const HostId &host, std::uint64_t run);

/**
 * Removes records of ended calls that were created CALL_RETENTION ago or earlier.
 * @param clock Cluster time.
 * @return Number of removed records.
 */
std::size_t expireCalls(CallTable &table, Duration clock);

} // namespace bilberry
