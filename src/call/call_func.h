/** @file call_func.h Rules of the call records: at most one dispatch of each call. */
#pragma once

#include "call/call_type.h"

#include <vector>

namespace bilberry {

/**
 * Records a call, or finds it.
 * @param clock Cluster time.
 * @return Dispatch only to the owner of a record; the same owner asking again gets Dispatch again.
 */
CallVerdict beginCall(CallTable &table, const CallId &id, const Digest &body,
                      const CallOwner &owner, Duration clock);

/** Notes the end of a call. @return False if @p owner does not own a running record of it. */
bool endCall(CallTable &table, const CallId &id, const CallOwner &owner, CallEnd end,
             StoredAnswer answer);

/** Makes all running calls of a host run that ended undetermined. @return Their ids. */
std::vector<CallId> loseOwner(CallTable &table, const HostId &host, std::uint64_t run);

/** Drops records older than CALL_RETENTION that are not running. @return How many. */
std::size_t expireCalls(CallTable &table, Duration clock);

} // namespace bilberry
