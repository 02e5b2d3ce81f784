/** @file registry_test.cpp Deltas of the target registry. */
#include "host/host_func.h"
#include "state/cluster_func.h"
#include "target/registry_func.h"

#include <random>
#include <set>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr TimePoint NOW{1s};

TargetAnnouncement makeAnnouncement(std::uint64_t sequence)
{
    TargetAnnouncement announcement;
    announcement.id = TargetId("t");
    announcement.start = Incarnation(1);
    announcement.sequence = sequence;
    for (int i = 0; i < 20; ++i)
        announcement.cached.push_back({ModelId("m" + std::to_string(i)), CacheTier::Disk});
    return announcement;
}

/** Lets a host apply the changes since its version. */
void update(Host &host, const TargetRegistry &registry)
{
    HostGrant grant;
    grant.sequence = host.reportSequence;
    grant.sentAt = NOW;
    grant.term = registry.epoch;
    grant.registry = deltaSince(registry, host.registryEpoch, host.registry);
    (void)step(host, ControlMessageEvent{grant}, NOW);
}

} // namespace

// Guards against a leader that sends each host what it knows: engines load and unload all the time,
// while the long list of the models on their disks stays.
Test(registry, change_of_loaded_models_does_not_repeat_the_cached_ones)
{
    TargetRegistry registry;
    registry.epoch = 1;
    applyAnnouncement(registry, makeAnnouncement(1), NOW);
    Host host = makeHost({}, NOW);
    update(host, registry);
    cr_assert_eq(host.targets.at(TargetId("t")).announcement.cached.size(), 20);

    TargetAnnouncement changed = makeAnnouncement(2);
    changed.loaded.push_back({{ModelId("m1"), {}}, Version(1), 0});
    applyAnnouncement(registry, changed, NOW);
    const RegistryDelta delta = deltaSince(registry, host.registryEpoch, host.registry);
    cr_assert_eq(delta.changed.size(), 1);
    cr_expect(delta.changed.front()->cached.empty());
    update(host, registry);
    cr_expect_eq(host.targets.at(TargetId("t")).announcement.cached.size(), 20);
    cr_expect_eq(host.targets.at(TargetId("t")).announcement.loaded.size(), 1);

    changed.sequence = 3;
    changed.cached.pop_back();
    applyAnnouncement(registry, changed, NOW);
    update(host, registry);
    cr_expect_eq(host.targets.at(TargetId("t")).announcement.cached.size(), 19);
}

// Guards against a host that keeps the models on the disk of a target's earlier incarnation.
Test(registry, restarted_target_is_sent_whole)
{
    TargetRegistry registry;
    registry.epoch = 1;
    applyAnnouncement(registry, makeAnnouncement(1), NOW);
    Host host = makeHost({}, NOW);
    update(host, registry);
    TargetAnnouncement restarted = makeAnnouncement(1);
    restarted.start = Incarnation(2);
    restarted.cached.resize(3);
    applyAnnouncement(registry, restarted, NOW);
    update(host, registry);
    cr_expect_eq(host.targets.at(TargetId("t")).announcement.cached.size(), 3);
}

// Guards against a delta that lacks a target which has changed since, or repeats one that has not:
// the leader finds the changes without a look at all targets.
Test(registry, delta_has_exactly_the_targets_that_changed)
{
    constexpr int TARGETS = 20;
    constexpr int CHANGES = 2'000;
    TargetRegistry registry;
    registry.epoch = 1;
    std::mt19937_64 random(7);
    TimePoint now = NOW;
    for (std::uint64_t i = 1; i <= CHANGES; ++i) {
        TargetAnnouncement announcement = makeAnnouncement(i);
        announcement.id = TargetId("t" + std::to_string(random() % TARGETS));
        announcement.memoryMb = static_cast<std::int64_t>(random() % 3);
        applyAnnouncement(registry, announcement, now);
        if (random() % 10 == 0)
            markTargetLeaving(registry, announcement.id);
        now += 50ms; // A target that is not announced for long is removed.
        (void)removeTimedOutTargets(registry, now);
        const Version known(random() % (registry.version.value + 1));
        std::set<TargetId> expected;
        for (const auto &[id, entry] : registry.targets) {
            if (entry.modified > known)
                expected.insert(id);
        }
        std::set<TargetId> changed;
        const RegistryDelta delta = deltaSince(registry, registry.epoch, known);
        for (const auto &target : delta.changed)
            changed.insert(target->id);
        cr_assert_eq(changed.size(), delta.changed.size(), "a target is repeated");
        cr_assert(changed == expected, "%zu targets, not %zu", changed.size(), expected.size());
        cr_assert_eq(deltaSince(registry, 0, known).changed.size(), registry.targets.size());
    }
}

// Guards against a host that misses a change of the configuration after changes of replicas only.
Test(registry, table_delta_has_every_change_that_hosts_get)
{
    Cluster cluster;
    FolderConfig folder;
    folder.accounts[AccountId("a")].id = AccountId("a");
    apply(cluster, {Duration::zero(), ApplyConfig{"c", Version(0), folder}});
    const Version known = cluster.version;
    Replica replica;
    replica.target = TargetId("t");
    apply(cluster, {Duration::zero(), UpdateReplicas{{replica}, {}}});
    cr_expect(tableDeltaSince(cluster, known).records.empty());
    cr_expect(tableDeltaSince(cluster, known).version == cluster.version);
    apply(cluster, {Duration::zero(), SetZone{"z", {ZoneId("z"), true}}});
    cr_expect_eq(tableDeltaSince(cluster, known).records.size(), 1);
}

// Guards against one announcement with an incarnation or a sequence number that the target never
// had, after which all of its own count as late.
Test(registry, target_is_followed_after_an_announcement_that_is_not_its_own)
{
    for (const bool wrongStart : {true, false}) {
        TargetRegistry registry;
        TimePoint now = NOW;
        std::uint64_t sequence = 1;
        applyAnnouncement(registry, makeAnnouncement(sequence), now);
        TargetAnnouncement odd = makeAnnouncement(wrongStart ? 1 : sequence + MAX_SEQUENCE_STEP);
        odd.start = Incarnation(wrongStart ? 1'000 : 1);
        odd.address = "10.0.0.9:9";
        applyAnnouncement(registry, odd, now);
        const TimePoint end = now + TARGET_HEARTBEAT_TIMEOUT + ENDED_TARGET_RETENTION + 2s;
        for (; now < end; now += 1s) {
            applyAnnouncement(registry, makeAnnouncement(++sequence), now);
            (void)removeTimedOutTargets(registry, now);
        }
        cr_assert(registry.targets.contains(TargetId("t")));
        cr_expect(registry.targets.at(TargetId("t")).announcement.address.empty());
    }
}
