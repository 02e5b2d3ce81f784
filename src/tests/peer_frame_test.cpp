/** @file peer_frame_test.cpp What is left out of a frame is read as it was. */
#include "net/peer_frame_type.h"

#include <criterion/criterion.h>

using namespace bilberry;

Test(peer_frame, sparse_reports_and_grants_come_back_whole)
{
    HostReport report;
    report.holder = {HostId("h"), 7};
    report.sequence = 3;
    SlotUse use;
    use.target = TargetId("t");
    use.slots.want = 2;
    report.slots.push_back(use);
    HostGrant grant;
    grant.term = 9;
    SlotGrant slots;
    slots.target = TargetId("t");
    slots.share = -1;
    grant.slots.push_back(slots);
    for (const PeerFrame &frame :
         {PeerFrame(HostMessage(report)), PeerFrame(ControlMessage(grant))}) {
        const std::string bytes = encodeFrame(frame);
        cr_assert_lt(bytes.size(), encode(frame).size());
        const auto back = decode<PeerFrame>(bytes);
        cr_assert(back);
        nlohmann::json expected = frame;
        cr_assert_eq(nlohmann::json(back.value()), expected, "%s", expected.dump().c_str());
    }
}
