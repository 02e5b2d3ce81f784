/** @file store_pace_test.cpp The leader learns how many loads the weight store serves at full
 * speed.
 */
#include "placement/store_pace_func.h"

#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int MOST = 4;
constexpr Duration STEP = 50ms;
constexpr Duration LOAD_TIME = 10s;
constexpr Duration ANNOUNCED_AFTER = 400ms; ///< Time from the end of a load to its announcement.

/** A weight store under constant demand: as many loads run as the learnt pace allows. */
struct Store
{
    explicit Store(double parallelism)
        : parallelism(parallelism)
    {
    }

    struct Load
    {
        std::string id;
        double work = 0; ///< Seconds left at full speed.
        TimePoint endedAt; ///< Epoch: still under way.
    };

    void runFor(Duration time, int cap = MOST)
    {
        for (const TimePoint end = this->now + time; this->now < end; this->now += STEP)
            this->step(cap);
    }

    void step(int cap)
    {
        decayStorePace(this->pace, MOST, this->now);
        const int allowed = std::min(storeParallelism(this->pace, MOST), cap);
        this->steps += 1;
        this->allowedSum += allowed;
        while (static_cast<int>(this->loads.size()) < allowed) {
            const std::string id = std::to_string(++this->lastId);
            beginStoreLoad(this->pace, id, LOAD_TIME, this->now, true, this->now);
            this->loads.push_back({id, toSeconds(LOAD_TIME), {}});
        }
        const auto running
            = std::count_if(this->loads.begin(), this->loads.end(),
                            [](const Load &load) { return load.endedAt == TimePoint{}; });
        const double speed
            = std::min(1.0, this->parallelism / static_cast<double>(std::max<long>(running, 1)))
            / this->slowness;
        for (Load &load : this->loads) {
            load.work -= load.endedAt == TimePoint{} ? speed * toSeconds(STEP) : 0;
            if (load.work <= 0 && load.endedAt == TimePoint{})
                load.endedAt = this->now;
        }
        std::erase_if(this->loads, [&](const Load &load) {
            const bool isAnnounced
                = load.endedAt != TimePoint{} && this->now >= load.endedAt + ANNOUNCED_AFTER;
            if (isAnnounced)
                finishStoreLoad(this->pace, load.id, MOST, this->now);
            return isAnnounced;
        });
    }

    /** @return Mean number of allowed loads over @p time. */
    double meanAllowed(Duration time)
    {
        this->steps = this->allowedSum = 0;
        this->runFor(time);
        return this->allowedSum / this->steps;
    }

    double parallelism;
    double slowness = 1;
    StorePace pace;
    TimePoint now{100s};
    std::vector<Load> loads;
    int lastId = 0;
    double steps = 0;
    double allowedSum = 0;
};

} // namespace

// Guards against more loads at once than the store serves: each of them ends later.
Test(store_pace, parallelism_of_the_store_is_learnt_and_kept)
{
    for (const int parallelism : {2, 3, 4}) {
        Store store(parallelism);
        cr_assert_eq(storeParallelism(store.pace, MOST), MOST, "the start is the present limit");
        store.runFor(45s);
        cr_expect_eq(storeParallelism(store.pace, MOST), parallelism, "%d learnt for %d",
                     storeParallelism(store.pace, MOST), parallelism);
        const double mean = store.meanAllowed(600s);
        cr_expect_lt(std::abs(mean - parallelism), 0.5, "%.2f at once for %d", mean, parallelism);
    }
}

// Guards against loads one by one for good after a time in which the store was slow.
Test(store_pace, slow_spell_is_not_taken_for_parallelism_forever)
{
    Store store(3);
    store.runFor(120s);
    store.slowness = 2.5;
    store.runFor(300s);
    cr_expect_gt(store.pace.slowness, 1.5, "slowness %.2f", store.pace.slowness);
    const double during = store.meanAllowed(300s);
    cr_expect_gt(during, 2.5, "%.2f at once while the store is slow", during);
    store.slowness = 1;
    store.runFor(120s);
    const double after = store.meanAllowed(300s);
    cr_expect_lt(std::abs(after - 3), 0.5, "%.2f at once after it", after);
    cr_expect_lt(store.pace.slowness, 1.2, "slowness %.2f after it", store.pace.slowness);
}

// Guards against a limit of 0 or of more loads than configured.
Test(store_pace, limit_stays_between_one_and_the_configured_one)
{
    Store store(0.3);
    store.runFor(600s);
    cr_expect_geq(storeParallelism(store.pace, MOST), 1);
    Store fast(50);
    fast.runFor(600s);
    cr_expect_eq(storeParallelism(fast.pace, MOST), MOST);
    cr_expect_eq(storeParallelism(fast.pace, 1), 1);
}

// Guards against learning from loads that failed, that an earlier leader began, or without a
// configured time.
Test(store_pace, only_measured_loads_that_finished_teach)
{
    StorePace pace;
    const TimePoint start(100s);
    beginStoreLoad(pace, "failed", 10s, start, true, start);
    beginStoreLoad(pace, "inherited", 10s, start, false, start);
    beginStoreLoad(pace, "unknown", 0s, start, true, start);
    dropStoreLoad(pace, "failed", start + 40s);
    finishStoreLoad(pace, "inherited", MOST, start + 60s);
    finishStoreLoad(pace, "unknown", MOST, start + 90s);
    finishStoreLoad(pace, "never begun", MOST, start + 90s);
    cr_expect_eq(pace.samples, 0);
    cr_expect_eq(storeParallelism(pace, MOST), MOST);
    cr_expect(pace.loads.empty());
}

// Guards against a time left that ignores that loads share the store.
Test(store_pace, work_left_counts_the_shared_time)
{
    StorePace pace;
    pace.estimate = 2;
    const TimePoint start(100s);
    for (const char *id : {"a", "b", "c", "d"})
        beginStoreLoad(pace, id, 10s, start, true, start);
    const Duration left = workLeft(pace, pace.loads.at("a"), MOST, start + 10s);
    cr_expect_lt(std::abs(toSeconds(left) - 5), 0.01, "%.2f s left", toSeconds(left));
    cr_expect_eq(ageOf(pace, pace.loads.at("a"), start + 10s), 10s);
}

// Guards against a store that lies idle from the end of a load to its announcement, and against
// more loads at once because of a load that takes long.
Test(store_pace, load_is_ending_from_its_expected_end_for_a_short_time)
{
    StorePace pace;
    const TimePoint start(100s);
    beginStoreLoad(pace, "a", 10s, start, true, start);
    cr_expect_eq(countEndingLoads(pace, MOST, start + 9900ms), 0);
    cr_expect_eq(countEndingLoads(pace, MOST, start + 10100ms), 1);
    cr_expect_eq(countEndingLoads(pace, MOST, start + 12s), 0);
}
