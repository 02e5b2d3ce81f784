/** @file peer_frame_test.cpp Encoding and decoding of the messages between processes. */
#include "net/generated/peers.pb.h"
#include "net/peer_frame_type.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

const Variant VARIANT_WITH_ADAPTER{ModelId("m"), AdapterId("a")};

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
    out.start = Incarnation(3);
    out.loaded = {{VARIANT_WITH_ADAPTER, Version(4), 5}};
    out.cached = {{ModelId("n"), CacheTier::Disk}};
    out.loading = {{VARIANT_WITH_ADAPTER, 6ms}};
    out.failing = out.leaving = true;
    out.lastOrder = FencingToken(7);
    out.failedOrders = {FencingToken(8)};
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
        = {{TargetId("t"), Incarnation(1), {1, 2, 3, 4}, 5, 6, 7, 8, 9ms, {{AccountId("a"), 1}}}};
    out.variants = {{VARIANT_WITH_ADAPTER, 1, 2, 3, 4, 5ms, {{AccountId("a"), 1}}},
                    {VARIANT_WITH_ADAPTER, 1, 2, 3, 4, {}, {}}};
    out.variants[0].timeLeft = {{2s, 3, 4.5}};
    out.forecastsVersion = 11;
    out.targets = {fullAnnouncement()};
    out.alive = {{TargetId("t"), Incarnation(1)}};
    out.targetsLeft = {TargetId("u")};
    out.suspicions = {{Digest("d"), TargetId("t"), Incarnation(1), true}};
    out.cleared = {Digest("e")};
    return out;
}

std::shared_ptr<const TableDelta> makeTable(std::uint64_t version, bool full)
{
    return std::make_shared<const TableDelta>(TableDelta{Version(version), full, {}});
}

HostGrant fullGrant()
{
    HostGrant out;
    out.sequence = 3;
    out.sentAt = TimePoint(5s);
    out.term = 9;
    out.table = makeTable(1, true);
    out.registry = RegistryDelta{1,
                                 true,
                                 Version(2),
                                 {std::make_shared<const TargetAnnouncement>(fullAnnouncement())},
                                 {TargetId("u")}};
    out.accounts = {{AccountId("a"), 1, 2, 3ms, 4ms, true}};
    out.slots = {{TargetId("t"), Incarnation(1), 2, 3, -1}};
    out.membershipIndex = 4;
    out.controlHosts = {"10.0.0.1:1"};
    out.clock = 5ms;
    out.suspectsVersion = 6;
    out.suspects = {Digest("d")};
    out.unknownTargets = {TargetId("u")};
    out.hostCount = 7;
    out.hostRank = 8;
    out.forecastsVersion = 12;
    out.forecasts = {{VARIANT_WITH_ADAPTER, 13ms}, {{}, 14ms}};
    return out;
}

rpc::Frame encodeForWire(const PeerFrame &frame)
{
    EncodedTable tableCache;
    return toWire(frame, tableCache);
}

void checkRoundTrip(const PeerFrame &frame)
{
    const rpc::Frame wire = encodeForWire(frame);
    const auto back = fromWire(wire);
    cr_assert(back);
    const nlohmann::json expected = frame;
    cr_assert_eq(nlohmann::json(back.value()), expected, "%s", expected.dump().c_str());
}

} // namespace

Test(peer_frame, reports_and_grants_round_trip_and_are_smaller_than_cbor)
{
    for (const PeerFrame &frame :
         {PeerFrame(HostMessage(fullReport())), PeerFrame(ControlMessage(fullGrant()))}) {
        checkRoundTrip(frame);
        // encode() writes the names of fields, which make up more than half of its result.
        cr_assert_lt(2 * encodeForWire(frame).ByteSizeLong(), encode(frame).size());
    }
    checkRoundTrip(PeerFrame(HostMessage(HostReport{})));
    checkRoundTrip(PeerFrame(ControlMessage(HostGrant{})));
    checkRoundTrip(PeerFrame(ControlMessage(NotLeader{"10.0.0.1:1"})));
}

Test(peer_frame, truncated_or_invalid_bytes_are_rejected)
{
    const std::string encoded = encodeForWire(PeerFrame(HostMessage(fullReport()))).report();
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        rpc::Frame truncated;
        truncated.set_report(encoded.substr(0, length));
        cr_assert(!fromWire(truncated), "%zu", length);
    }
    rpc::Frame invalid;
    invalid.set_grant("\x01");
    cr_assert(!fromWire(invalid));
}

// Guards against encoding the full table once per host when all hosts request it together, after a
// change of leader or a common start.
Test(peer_frame, a_full_table_is_encoded_once_per_version)
{
    HostGrant grant = fullGrant();
    EncodedTable tableCache;
    const std::string first = packGrant(grant, tableCache);
    cr_assert_eq(tableCache.version, grant.table->version);
    const std::string cachedBytes = tableCache.bytes;
    cr_assert_eq(packGrant(grant, tableCache), first);
    grant.table = makeTable(2, true);
    const std::string second = packGrant(grant, tableCache);
    cr_assert_neq(tableCache.bytes, cachedBytes);
    cr_assert_eq(unpackGrant(second).value().table->version, Version(2));
    grant.table = makeTable(3, false);
    cr_assert_eq(unpackGrant(packGrant(grant, tableCache)).value().table->version, Version(3));
    cr_assert_eq(tableCache.version, Version(2), "a delta must not replace the cached full table");
}
