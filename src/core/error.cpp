/** @file error.cpp Error category of Errc, with the message of each code. */
#include "core/error_type.h"

#include <string>

namespace bilberry {

namespace {

class BilberryCategory final : public std::error_category
{
public:
    const char *name() const noexcept override { return "bilberrybend"; }

    std::string message(int value) const override
    {
        switch (static_cast<Errc>(value)) {
        case Errc::Ok:
            return "ok";
        case Errc::InvalidSettings:
            return "invalid settings";
        case Errc::FileUnreadable:
            return "file cannot be read";
        case Errc::FileUnwritable:
            return "file cannot be written";
        case Errc::JournalCorrupt:
            return "journal record fails its checksum";
        case Errc::JournalForeign:
            return "data folder belongs to another member";
        case Errc::AddressInUse:
            return "address is in use";
        case Errc::PeerUnreachable:
            return "peer is unreachable";
        case Errc::QueueFull:
            return "queue is full";
        case Errc::Malformed:
            return "malformed message";
        case Errc::NotLeader:
            return "not the leader";
        case Errc::VersionConflict:
            return "base version is not the current version";
        case Errc::ChangeIdReused:
            return "change id was already used for a different change";
        case Errc::NotFound:
            return "not found";
        case Errc::AlreadyExists:
            return "already exists";
        case Errc::MembershipBusy:
            return "another membership change is in progress";
        case Errc::QuorumAtRisk:
            return "too few live voters would remain";
        case Errc::Timeout:
            return "timeout";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &errorCategory()
{
    static const BilberryCategory category;
    return category;
}

std::error_code make_error_code(Errc code)
{
    return {static_cast<int>(code), errorCategory()};
}

} // namespace bilberry
