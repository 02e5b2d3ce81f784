/** @file peer_frame.cpp Which encoding each kind of message travels in. */
#include "net/peer_frame_type.h"

#include "net/generated/peers.pb.h"

namespace bilberry {

rpc::Frame toWire(const PeerFrame &frame, PackedTable &whole)
{
    rpc::Frame wire;
    const auto *fromHost = std::get_if<HostMessage>(&frame);
    const auto *toHost = std::get_if<ControlMessage>(&frame);
    if (fromHost != nullptr && std::holds_alternative<HostReport>(*fromHost))
        wire.set_report(packReport(std::get<HostReport>(*fromHost)));
    else if (toHost != nullptr && std::holds_alternative<HostGrant>(*toHost))
        wire.set_grant(packGrant(std::get<HostGrant>(*toHost), whole));
    else
        wire.set_body(encode(frame));
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
