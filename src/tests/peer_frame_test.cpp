/** @file peer_frame_test.cpp What travels between processes comes back as it was. */
#include "net/generated/peers.pb.h"
#include "net/peer_frame_type.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

const Variant ADAPTED{ModelId("m"), AdapterId("a")};

TargetAnnouncement fullAnnouncement()
{
    TargetAnnouncement out;
    out.id = TargetId("t");
    out.address = "10.0.0.1:1";
    out.kind = TargetKind::Service;
    out.zone = ZoneId("z");
    out.service = "s";
    out.memoryMb = 1;
    out.maxConcurrent = 2;
    out.start = StartNumber(3);
    out.loaded = {{ADAPTED, Version(4), 5}};
    out.cached = {{ModelId("n"), CacheTier::Disk}};
    out.loading = {{ADAPTED, 6ms}};
    out.failing = out.leaving = true;
    out.lastOrder = FencingNumber(7);
    out.failedOrders = {FencingNumber(8)};
    out.coldFor = 9ms;
    out.sequence = 10;
    return out;
}

HostReport fullReport()
{
    HostReport out;
    out.holder = {HostId("h"), 7};
    out.zone = ZoneId("z");
    out.sequence = 3;
    out.sentAt = TimePoint(5s);
    out.term = 1;
    out.table = Version(2);
    out.registryEpoch = 3;
    out.registry = Version(4);
    out.membershipIndex = 5;
    out.suspectsVersion = 6;
    out.leaving = true;
    out.entry = false;
    out.member = ControlCandidate{"m", "10.0.0.1:2"};
    out.accounts = {{AccountId("a"), {1, 2, 3, 4}, {5, 6, 7, 8}}};
    out.slots
        = {{TargetId("t"), StartNumber(1), {1, 2, 3, 4}, 5, 6, 7, 8, 9ms, {{AccountId("a"), 1}}}};
    out.variants
        = {{ADAPTED, 1, 2, 3, 4, 5ms, {{AccountId("a"), 1}}}, {ADAPTED, 1, 2, 3, 4, {}, {}}};
    out.targets = {fullAnnouncement()};
    out.alive = {{TargetId("t"), StartNumber(1)}};
    out.targetsLeft = {TargetId("u")};
    out.suspicions = {{Digest("d"), TargetId("t"), StartNumber(1), true}};
    out.cleared = {Digest("e")};
    return out;
}

std::shared_ptr<const TableDelta> tableOf(std::uint64_t version, bool full)
{
    return std::make_shared<const TableDelta>(TableDelta{Version(version), full, {}});
}

HostGrant fullGrant()
{
    HostGrant out;
    out.sequence = 3;
    out.sentAt = TimePoint(5s);
    out.term = 9;
    out.table = tableOf(1, true);
    out.registry = RegistryDelta{1, true, Version(2), {fullAnnouncement()}, {TargetId("u")}};
    out.accounts = {{AccountId("a"), 1, 2, 3ms, 4ms, true}};
    out.slots = {{TargetId("t"), StartNumber(1), 2, 3, -1}};
    out.membershipIndex = 4;
    out.controlHosts = {"10.0.0.1:1"};
    out.clock = 5ms;
    out.suspectsVersion = 6;
    out.suspects = {Digest("d")};
    out.unknownTargets = {TargetId("u")};
    out.hostCount = 7;
    out.hostRank = 8;
    return out;
}

rpc::Frame wireOf(const PeerFrame &frame)
{
    PackedTable none;
    return toWire(frame, none);
}

void checkRoundTrip(const PeerFrame &frame)
{
    const rpc::Frame wire = wireOf(frame);
    const auto back = fromWire(wire);
    cr_assert(back);
    const nlohmann::json expected = frame;
    cr_assert_eq(nlohmann::json(back.value()), expected, "%s", expected.dump().c_str());
}

} // namespace

Test(peer_frame, reports_and_grants_come_back_whole_and_are_shorter)
{
    for (const PeerFrame &frame :
         {PeerFrame(HostMessage(fullReport())), PeerFrame(ControlMessage(fullGrant()))}) {
        checkRoundTrip(frame);
        // Names of fields alone take more than half.
        cr_assert_lt(2 * wireOf(frame).ByteSizeLong(), encode(frame).size());
    }
    checkRoundTrip(PeerFrame(HostMessage(HostReport{})));
    checkRoundTrip(PeerFrame(ControlMessage(HostGrant{})));
    checkRoundTrip(PeerFrame(ControlMessage(NotLeader{"10.0.0.1:1"})));
}

Test(peer_frame, what_is_cut_short_or_foreign_is_malformed)
{
    const std::string whole = wireOf(PeerFrame(HostMessage(fullReport()))).report();
    for (std::size_t length = 0; length < whole.size(); ++length) {
        rpc::Frame cut;
        cut.set_report(whole.substr(0, length));
        cr_assert(!fromWire(cut), "%zu", length);
    }
    rpc::Frame foreign;
    foreign.set_grant("\x01");
    cr_assert(!fromWire(foreign));
}

/** Pattern: a new leader, or many hosts that start at once. */
Test(peer_frame, a_whole_table_is_encoded_once_for_all_hosts)
{
    HostGrant grant = fullGrant();
    PackedTable whole;
    const std::string first = packGrant(grant, whole);
    cr_assert_eq(whole.version, grant.table->version);
    const std::string known = whole.bytes;
    cr_assert_eq(packGrant(grant, whole), first);
    grant.table = tableOf(2, true);
    const std::string newer = packGrant(grant, whole);
    cr_assert_neq(whole.bytes, known);
    cr_assert_eq(unpackGrant(newer).value().table->version, Version(2));
    grant.table = tableOf(3, false);
    cr_assert_eq(unpackGrant(packGrant(grant, whole)).value().table->version, Version(3));
    cr_assert_eq(whole.version, Version(2), "a part of a table is not the whole");
}
