/** @file peer_frame_type.h Messages on a stream between two of the system's processes. */
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
    MemberId from; ///< Sender.
    /** "ip:port" of the sender, for replies if the receiver does not know that address yet. */
    std::string fromAddress;
    MemberId to; ///< Receiver; a member drops frames addressed to a former member at its address.
    ReplicaMessage message;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberFrame, from, fromAddress, to, message)

/** Any message on a stream between two processes. */
using PeerFrame = std::variant<MemberFrame, HostMessage, ControlMessage>;

/** @return @p frame as the protobuf message to send. @param tableCache See packGrant(). */
rpc::Frame toWire(const PeerFrame &frame, EncodedTable &tableCache);

/** @return The same for a message to a host. */
rpc::Frame toWire(const ControlMessage &message, EncodedTable &tableCache);

/** @return The frame decoded from @p wire, or Errc::Malformed. */
Result<PeerFrame> fromWire(const rpc::Frame &wire);

} // namespace bilberry
