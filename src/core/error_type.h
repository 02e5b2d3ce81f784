/** @file error_type.h Error codes of all modules and the result type that carries them. */
#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>
#include <system_error>

namespace bilberry {

/**
 * Errors that a module reports to its caller. Answers to operators contain the number of the
 * enumerator, so the order of the enumerators must not change.
 */
enum class Errc {
    Ok = 0,
    InvalidSettings, ///< A setting has an invalid value, or a file violates its schema.
    FileUnreadable, ///< A file or folder cannot be opened or read.
    FileUnwritable, ///< A file or folder cannot be created, written or synced.
    JournalCorrupt, ///< The identity, the snapshot or a synced journal record fails its checksum.
    JournalForeign, ///< The data folder has the identity of another control member.
    AddressInUse, ///< A listening socket cannot be bound to its address.
    PeerUnreachable, ///< No connection to another process of the system.
    QueueFull, ///< A bounded queue has no free capacity.
    Malformed, ///< A message, request body or file cannot be parsed.
    NotLeader, ///< This control member is not the leader, or its lease has expired.
    VersionConflict, ///< The version given for a compare-and-set is not the current version.
    ChangeIdReused, ///< An earlier change with the same idempotency id had other content.
    NotFound, ///< The named object does not exist.
    AlreadyExists, ///< An object of this name or identity exists.
    MembershipBusy, ///< An earlier change of the membership is not finished yet.
    QuorumAtRisk, ///< The membership change would leave too few reachable, caught-up voters.
    Timeout, ///< No answer arrived within the time limit.
};

/** @return The error category of Errc, which provides the messages. */
const std::error_category &errorCategory();

/** @return @p code as a std::error_code. */
std::error_code make_error_code(Errc code);

/** A value of type T or an error code. */
template <class T> using Result = boost::outcome_v2::std_result<T>;

} // namespace bilberry

template <> struct std::is_error_code_enum<bilberry::Errc> : std::true_type
{
};
