/** @file peer_frame_type.h What travels on a stream between two of the system's processes. */
#pragma once

#include "consensus/replica_type.h"
#include "link/link_type.h"
#include "net/link_wire_func.h"

#include <string>
#include <variant>

namespace bilberry::rpc {
class Frame;
}

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

/** @return @p frame as it travels. @param whole See packGrant(). */
rpc::Frame toWire(const PeerFrame &frame, PackedTable &whole);

/** @return What @p wire holds, or Errc::Malformed. */
Result<PeerFrame> fromWire(const rpc::Frame &wire);

} // namespace bilberry
