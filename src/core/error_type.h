/** @file error_type.h Typed failures of all modules and the Result that carries them. */
#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>
#include <system_error>

namespace bilberry {

/** Every failure that a module reports to another. */
enum class Errc {
    Ok = 0,
    InvalidSettings, ///< A settings or configuration file breaks its schema.
    FileUnreadable,
    FileUnwritable,
    JournalCorrupt, ///< A record in the middle of the journal fails its checksum.
    JournalForeign, ///< The data folder belongs to another member.
    AddressInUse,
    PeerUnreachable,
    RingFull,
    Malformed, ///< A message or body that does not parse.
    NotLeader,
    VersionConflict, ///< Compare-and-set on a version that is no longer the present one.
    ChangeIdReused, ///< A change id seen before with other content.
    NotFound,
    AlreadyExists,
    MembershipBusy, ///< Another membership change is not yet committed.
    QuorumAtRisk, ///< The change would leave too few live voters.
    Timeout,
};

/** @return The category of Errc. */
const std::error_category &errorCategory();

/** @return @p code as a std::error_code. */
std::error_code make_error_code(Errc code);

template <class T> using Result = boost::outcome_v2::std_result<T>;

} // namespace bilberry

template <> struct std::is_error_code_enum<bilberry::Errc> : std::true_type
{
};
