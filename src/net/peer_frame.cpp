/** @file peer_frame.cpp Short encoding of what travels most. */
#include "net/peer_frame_type.h"

namespace bilberry {

namespace {

bool isDefault(const nlohmann::json &value)
{
    return value.is_null() || (value.is_structured() && value.empty()) || value == 0
        || value == false;
}

bool isSparse(const PeerFrame &frame)
{
    if (const auto *message = std::get_if<HostMessage>(&frame))
        return std::holds_alternative<HostReport>(*message);
    const auto *message = std::get_if<ControlMessage>(&frame);
    return message != nullptr && std::holds_alternative<HostGrant>(*message);
}

} // namespace

std::string encodeFrame(const PeerFrame &frame)
{
    nlohmann::json json = frame;
    if (isSparse(frame)) {
        // [kind of frame, [kind of message, fields]]
        nlohmann::json &fields = json.at(1).at(1);
        for (auto it = fields.begin(); it != fields.end();)
            it = isDefault(*it) ? fields.erase(it) : std::next(it);
    }
    std::string out;
    nlohmann::json::to_cbor(json, out);
    return out;
}

} // namespace bilberry
