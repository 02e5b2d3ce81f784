/** @file peer_frame_type.h What travels on a stream between two of the system's processes. */
#pragma once

#include "consensus/replica_type.h"
#include "link/link_type.h"

#include <string>
#include <variant>

namespace bilberry {

/** A message between members of the control group. */
struct MemberFrame
{
    MemberId from;
    std::string fromAddress; ///< Where answers go: a new member knows no addresses yet.
    MemberId to; ///< A member that has replaced another at its address ignores the other's mail.
    ReplicaMessage message;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberFrame, from, fromAddress, to, message)

using PeerFrame = std::variant<MemberFrame, HostMessage, ControlMessage>;

/**
 * Reports and grants travel most and are mostly empty: fields that are zero or empty are left out,
 * since that is also what a missing field is read as.
 * @return @p frame as CBOR.
 */
std::string encodeFrame(const PeerFrame &frame);

} // namespace bilberry
