/** @file assumption_test.cpp Expected effects of accepted adapter orders on late announcements. */
#include "control/assumption_func.h"
#include "target/registry_func.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

const Variant BASE{ModelId("m"), {}};
const Variant ADAPTED{ModelId("m"), AdapterId("a")};

/** A leader that knows one target, which has the model without the adapter loaded. */
struct AssumptionFixture
{
    AssumptionFixture()
    {
        this->announcement.id = TargetId("t");
        this->announcement.start = Incarnation(1);
        this->announcement.loaded = {{BASE, Version(1), 10}};
        applyAnnouncement(this->leadership.registry, this->announcement, this->now);
    }

    /** Records an accepted order to load or unload the adapter, with effect from now. */
    void acceptOrder(bool loads)
    {
        addAssumption(
            this->leadership,
            {this->now, TargetId("t"), Incarnation(1), ADAPTED, Version(1), loads, false});
        applyAssumptions(this->leadership, this->now);
    }

    /** Receives an announcement that the target made before it accepted the orders. */
    void receiveOldAnnouncement(bool adapterLoaded)
    {
        TargetAnnouncement old = this->announcement;
        old.sequence = ++this->sequence;
        if (adapterLoaded)
            old.loaded.push_back({ADAPTED, Version(1), 0});
        applyAnnouncement(this->leadership.registry,
                          withAssumptions(this->leadership, old, this->now), this->now);
    }

    /** @return How many times the leader's registry lists the adapter as loaded. */
    std::size_t loadedAdapters() const
    {
        const TargetEntry &entry = this->leadership.registry.targets.at(TargetId("t"));
        return static_cast<std::size_t>(
            std::count_if(entry.announcement.loaded.begin(), entry.announcement.loaded.end(),
                          [](const LoadedVariant &item) { return item.variant == ADAPTED; }));
    }

    Leadership leadership;
    TargetAnnouncement announcement;
    std::uint64_t sequence = 0;
    TimePoint now{10s};
};

} // namespace

// Guards against ordering more adapters than the eight adapter places of a target hold: a delayed
// heartbeat made the leader forget adapters that it had ordered shortly before.
Test(assumption, older_announcement_does_not_remove_loaded_adapter)
{
    AssumptionFixture a;
    a.acceptOrder(true);
    cr_assert_eq(a.loadedAdapters(), 1);
    a.now += 30ms;
    a.receiveOldAnnouncement(false);
    cr_assert_eq(a.loadedAdapters(), 1);
    a.now += ASSUMPTION_LIFETIME;
    applyAssumptions(a.leadership, a.now);
    a.receiveOldAnnouncement(false);
    cr_assert_eq(a.loadedAdapters(), 0,
                 "the announcement must count once the assumption has expired");
}

Test(assumption, older_announcement_does_not_restore_unloaded_adapter)
{
    AssumptionFixture a;
    a.acceptOrder(true);
    a.acceptOrder(false);
    a.now += 30ms;
    a.receiveOldAnnouncement(true);
    cr_assert_eq(a.loadedAdapters(), 0,
                 "the assumption of the later order must replace the earlier one");
}

Test(assumption, assumption_does_not_apply_to_new_incarnation)
{
    AssumptionFixture a;
    a.acceptOrder(true);
    a.announcement.start = Incarnation(2);
    a.receiveOldAnnouncement(false);
    cr_assert_eq(a.loadedAdapters(), 0);
}

Test(assumption, assumption_does_not_apply_without_loaded_model)
{
    AssumptionFixture a;
    a.acceptOrder(true);
    a.announcement.loaded.clear();
    a.receiveOldAnnouncement(false);
    cr_assert_eq(a.loadedAdapters(), 0);
}
