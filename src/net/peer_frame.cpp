/** @file peer_frame.cpp Encoding of each kind of message between processes. */
#include "net/peer_frame_type.h"

#include "net/generated/peers.pb.h"

namespace bilberry {

rpc::Frame toWire(const PeerFrame &frame, EncodedTable &tableCache)
{
    if (const auto *controlMessage = std::get_if<ControlMessage>(&frame))
        return toWire(*controlMessage, tableCache);
    rpc::Frame wire;
    const auto *hostMessage = std::get_if<HostMessage>(&frame);
    if (hostMessage != nullptr && std::holds_alternative<HostReport>(*hostMessage))
        wire.set_report(packReport(std::get<HostReport>(*hostMessage)));
    else
        wire.set_body(encode(frame));
    return wire;
}

rpc::Frame toWire(const ControlMessage &message, EncodedTable &tableCache)
{
    rpc::Frame wire;
    if (const auto *grant = std::get_if<HostGrant>(&message))
        wire.set_grant(packGrant(*grant, tableCache));
    else
        wire.set_body(encode(PeerFrame(message)));
    return wire;
}

Result<PeerFrame> fromWire(const rpc::Frame &wire)
{
    if (wire.has_report()) {
        BOOST_OUTCOME_TRY(report, unpackReport(wire.report()));
        return PeerFrame(HostMessage(std::move(report)));
    }
    if (wire.has_grant()) {
        BOOST_OUTCOME_TRY(grant, unpackGrant(wire.grant()));
        return PeerFrame(ControlMessage(std::move(grant)));
    }
    return decode<PeerFrame>(wire.body());
}

} // namespace bilberry
