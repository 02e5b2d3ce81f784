/** @file part_quarantine_test.cpp Tests that a part of a prompt that crashes targets is found and
 * refused, and that other parts are not. */
#include "quarantine/part_evidence_func.h"
#include "replay/decision_simulation_base.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration CONTACT_TIME
    = 3s; ///< Time after the fifth crash in which requests may still run.
constexpr int TOLERATED_CRASHES = 5;
constexpr int MAX_LATE_ARRIVALS = 3; ///< Requests with the part that may reach targets after that.
constexpr int FIRST_PARTS = 3; ///< Number of different first parts of sound requests.
constexpr int SECOND_PARTS = 35; ///< Number of different second parts of sound requests.

const HolderId HOLDER{HostId("h0"), 1};
const TimePoint NOW(100s);

LostRequest makeLoss(std::uint64_t number, std::vector<std::string> names, bool trial = false)
{
    LostRequest lost;
    lost.request = RequestId(number);
    lost.target = TargetId("t" + std::to_string(number));
    lost.start = Incarnation(1);
    for (std::string &name : names)
        lost.parts.emplace_back(std::move(name));
    lost.trial = trial;
    return lost;
}

/** Properties of a simulated load. */
struct LoadSpec
{
    int hosts = 9;
    int targets = 9;
    double perSecond = 60; ///< Requests per second, of all kinds.
    double badShare = 0.01; ///< Share of the requests that have a bad part.
    std::size_t badPosition = 1; ///< Index of the bad part in the prompt.
    int badParts = 1; ///< Number of different bad parts.
    double crashesPerSecond = 0; ///< Rate of crashes for other reasons.
    Duration length = 30s;
    unsigned seed = 1;
    /** Called once a second; may disturb the simulation. */
    std::function<void(DecisionSimulation &, int second, int crashes)> disturb;
};

/** What a load led to. */
struct LoadReport
{
    int crashes = 0; ///< Crashes caused by bad parts.
    int lateArrivals = 0; ///< Most requests with one bad part that started after its bound.
    int soundQuarantined = 0; ///< Sound requests that were refused as quarantined.
    int lateSound = 0; ///< Sound requests sent after twice the bound.
    int lateSoundAnswered = 0;
};

class TaintedLoad
{
public:
    explicit TaintedLoad(const LoadSpec &spec)
        : spec(spec)
        , random(spec.seed)
        , simulation(spec.hosts, makeFolder(), spec.seed)
    {
        for (int i = 0; i < spec.targets; ++i)
            this->simulation.addTarget(this->makeTarget(i));
        this->simulation.onControlStep = [](bool) {};
    }

    LoadReport run()
    {
        this->simulation.runUntil(TimePoint(6s));
        this->begin = this->simulation.now();
        this->sendAll();
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(this->spec.length);
        for (int second = 1; second <= seconds.count(); ++second) {
            this->simulation.runUntil(this->begin + std::chrono::seconds(second));
            this->crashAtRandom();
            if (this->spec.disturb)
                this->spec.disturb(this->simulation, second, this->report.crashes);
        }
        this->simulation.runUntil(this->begin + this->spec.length + 5s);
        this->countOutcomes();
        return this->report;
    }

private:
    static FolderConfig makeFolder()
    {
        FolderConfig folder;
        Route route;
        route.id = RouteId("r");
        route.host = "h";
        route.path = "/a/";
        route.service = "s";
        route.open = true;
        route.attempts = 1;
        route.timeLimitMs = 4'000;
        folder.routes[route.id] = route;
        return folder;
    }

    SimulatedTarget makeTarget(int number)
    {
        SimulatedTarget target;
        target.announcement.id = TargetId("t" + std::to_string(number));
        target.announcement.kind = TargetKind::Service;
        target.announcement.service = "s";
        target.announcement.maxConcurrent = 24;
        target.announcement.start = Incarnation(1);
        target.serviceTime = 600ms;
        target.timeToFirstEvent = 150ms;
        target.crashes = [this](const StartAttempt &attempt) { return this->crashes(attempt); };
        return target;
    }

    bool crashes(const StartAttempt &attempt)
    {
        const auto bad = this->badRequests.find(attempt.request);
        if (bad == this->badRequests.end())
            return false;
        ++this->report.crashes;
        this->crashTimes[bad->second].push_back(this->simulation.now());
        return true;
    }

    /** Adds a request with shared parts of which one may be bad. */
    void sendOne(TimePoint at)
    {
        CallerRequest request;
        request.byRoute = true;
        request.virtualHost = "h";
        request.path = "/a/x";
        request.timeLimit = 4s;
        request.body = digestOf({std::to_string(this->sent.size())});
        request.promptParts
            = {PromptPart("first" + std::to_string(this->random() % FIRST_PARTS)),
               PromptPart("second" + std::to_string(this->random() % SECOND_PARTS))};
        const bool bad
            = static_cast<double>(this->random() % 10'000) < this->spec.badShare * 10'000;
        const auto which = static_cast<int>(this->random()) % this->spec.badParts;
        const PromptPart part("bad" + std::to_string(std::abs(which)));
        if (bad)
            request.promptParts[this->spec.badPosition] = part;
        const auto host
            = static_cast<int>(this->random() % static_cast<unsigned>(this->spec.hosts));
        const RequestId id = this->simulation.send(host, request, at);
        this->sent.push_back({host, id, at, bad});
        if (bad)
            this->badRequests[id] = part;
    }

    void sendAll()
    {
        this->simulation.dropEffect = [this](const HostEffect &effect) {
            if (const auto *start = std::get_if<StartAttempt>(&effect))
                this->countArrival(*start);
            return false;
        };
        std::exponential_distribution<double> gap(this->spec.perSecond);
        for (double at = 0; fromSeconds(at) < this->spec.length; at += gap(this->random))
            this->sendOne(this->begin + fromSeconds(at));
    }

    void countArrival(const StartAttempt &start)
    {
        const auto bad = this->badRequests.find(start.request);
        const bool arrives = !this->simulation.targets.at(start.target).down;
        if (arrives && bad != this->badRequests.end())
            this->arrivals[bad->second].push_back(this->simulation.now());
    }

    void crashAtRandom()
    {
        std::poisson_distribution<int> count(this->spec.crashesPerSecond);
        for (int left = this->spec.crashesPerSecond > 0 ? count(this->random) : 0; left > 0; --left)
            this->simulation.crashTarget(TargetId(
                "t" + std::to_string(this->random() % static_cast<unsigned>(this->spec.targets))));
    }

    /** @return End of the time in which requests with the part may still start. */
    std::optional<TimePoint> boundOf(const PromptPart &part) const
    {
        const auto times = this->crashTimes.find(part);
        if (times == this->crashTimes.end() || times->second.size() < TOLERATED_CRASHES)
            return std::nullopt;
        return times->second[TOLERATED_CRASHES - 1] + CONTACT_TIME;
    }

    void countOutcomes()
    {
        for (const auto &[part, times] : this->arrivals) {
            const std::optional<TimePoint> bound = this->boundOf(part);
            const auto late = std::count_if(times.begin(), times.end(),
                                            [&](TimePoint at) { return bound && at > *bound; });
            this->report.lateArrivals = std::max(this->report.lateArrivals, static_cast<int>(late));
        }
        TimePoint settled = this->begin;
        for (const auto &[part, times] : this->crashTimes) {
            const std::size_t last = std::min<std::size_t>(times.size(), TOLERATED_CRASHES);
            settled = std::max(settled, times[last - 1] + 2 * CONTACT_TIME);
        }
        for (const SentRequest &request : this->sent) {
            const auto outcome = this->simulation.outcomes.find({request.host, request.id});
            if (request.bad || outcome == this->simulation.outcomes.end())
                continue;
            const bool quarantined = !outcome->second.answered
                && outcome->second.refusal.code == RefusalCode::PartQuarantined;
            this->report.soundQuarantined += quarantined ? 1 : 0;
            this->report.lateSound += request.at > settled ? 1 : 0;
            this->report.lateSoundAnswered
                += request.at > settled && outcome->second.answered ? 1 : 0;
        }
    }

    struct SentRequest
    {
        int host = 0;
        RequestId id;
        TimePoint at;
        bool bad = false;
    };

    const LoadSpec spec;
    std::mt19937 random;
    LoadReport report;
    std::vector<SentRequest> sent;
    std::map<RequestId, PromptPart> badRequests;
    std::map<PromptPart, std::vector<TimePoint>> crashTimes;
    std::map<PromptPart, std::vector<TimePoint>> arrivals;
    TimePoint begin;
    DecisionSimulation simulation;
};

/** Checks what must hold for every load. */
void check(const LoadSpec &spec, const std::string &name)
{
    const LoadReport report = TaintedLoad(spec).run();
    cr_expect_leq(report.lateArrivals, MAX_LATE_ARRIVALS, "%s, seed %u: %d late, %d crashes",
                  name.c_str(), spec.seed, report.lateArrivals, report.crashes);
    cr_expect_eq(report.soundQuarantined, 0, "%s, seed %u: %d sound requests quarantined",
                 name.c_str(), spec.seed, report.soundQuarantined);
    cr_expect_geq(2 * report.lateSoundAnswered, report.lateSound, "%s, seed %u: %d of %d answered",
                  name.c_str(), spec.seed, report.lateSoundAnswered, report.lateSound);
}

} // namespace

// Guards against counting losses by the body of the request: no body comes twice.
Test(part_quarantine, part_that_crashes_each_target_stops_before_all_targets_are_lost)
{
    for (const std::size_t position : {0, 1}) {
        for (const double share : {0.01, 0.05, 0.3}) {
            for (unsigned seed = 1; seed <= 5; ++seed) {
                LoadSpec spec;
                spec.seed = seed;
                spec.badShare = share;
                spec.badPosition = position;
                check(spec,
                      "position " + std::to_string(position) + ", share " + std::to_string(share));
            }
        }
    }
}

// Guards against a quarantine that needs the same host or target twice.
Test(part_quarantine, part_is_found_among_many_hosts_and_targets)
{
    for (unsigned seed = 1; seed <= 2; ++seed) {
        LoadSpec spec;
        spec.seed = seed;
        spec.hosts = 60;
        spec.targets = 60;
        spec.perSecond = 200;
        spec.badShare = 0.05;
        check(spec, "many hosts");
    }
}

// Guards against convicting one bad part and clearing the other.
Test(part_quarantine, several_bad_parts_are_found)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        LoadSpec spec;
        spec.seed = seed;
        spec.badShare = 0.05;
        spec.badParts = 3;
        check(spec, "three parts");
    }
}

// Guards against a quarantine of parts whose requests ran when a target crashed for another reason.
Test(part_quarantine, crashes_for_other_reasons_quarantine_no_part)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        LoadSpec spec;
        spec.seed = seed;
        spec.badShare = 0;
        spec.crashesPerSecond = 1;
        check(spec, "only other crashes");
        spec.badShare = 0.01;
        check(spec, "also other crashes");
    }
}

// Guards against evidence that only the memory of one leader holds.
Test(part_quarantine, evidence_survives_a_change_of_leader)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        for (const int restartAfter : {2, 3}) {
            LoadSpec spec;
            spec.seed = seed;
            bool restarted = false;
            spec.disturb = [&](DecisionSimulation &simulation, int, int crashes) {
                if (!restarted && crashes >= restartAfter)
                    simulation.restartControl(300ms);
                restarted = restarted || crashes >= restartAfter;
            };
            check(spec, "leader restarted after " + std::to_string(restartAfter) + " crashes");
        }
    }
}

// Guards against a quarantine that a new leader forgets.
Test(part_quarantine, quarantine_survives_a_restart_of_the_leader)
{
    LoadSpec spec;
    spec.badShare = 0.05;
    spec.disturb = [](DecisionSimulation &simulation, int second, int) {
        if (second % 8 == 0)
            simulation.restartControl(300ms);
    };
    check(spec, "leader restarted every 8 s");
}

// Guards against evidence that is lost with one host.
Test(part_quarantine, part_is_found_while_hosts_restart_and_are_cut_off)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        LoadSpec spec;
        spec.seed = seed;
        spec.badShare = 0.05;
        spec.disturb = [](DecisionSimulation &simulation, int second, int) {
            simulation.hosts[0].partitioned = second < 8;
            if (second % 3 == 0)
                simulation.restartHost(1 + second % 8);
        };
        check(spec, "hosts restarted");
    }
}

Test(part_quarantine, response_that_begins_after_the_loss_clears_the_part)
{
    PartEvidence evidence;
    addLostRequest(evidence, HOLDER, makeLoss(1, {"a", "b"}), NOW);
    cr_assert_eq(evidence.suspicions.size(), 2);
    addAnsweredPart(evidence, {PromptPart("a"), 1s}, NOW);
    cr_assert_eq(evidence.suspicions.size(), 2, "the response began before the loss");
    addAnsweredPart(evidence, {PromptPart("a"), 1s}, NOW + 2s);
    cr_assert_eq(evidence.suspicions.size(), 1);
    cr_assert(evidence.suspicions.contains(PromptPart("b")));
}

Test(part_quarantine, one_trial_of_a_part_runs_at_a_time)
{
    PartEvidence evidence;
    const PromptPart part("a");
    addLostRequest(evidence, HOLDER, makeLoss(1, {"a"}), NOW);
    cr_assert_not(grantTrial(evidence, part, HOLDER, NOW), "one loss restricts nothing");
    addLostRequest(evidence, HOLDER, makeLoss(2, {"a"}), NOW);
    cr_assert(grantTrial(evidence, part, HOLDER, NOW));
    cr_assert_not(grantTrial(evidence, part, {HostId("h1"), 1}, NOW));
    cr_assert(grantTrial(evidence, part, {HostId("h1"), 1}, NOW + PART_TRIAL_LEASE));
}

Test(part_quarantine, of_two_parts_lost_together_the_later_one_is_named)
{
    PartEvidence evidence;
    for (std::uint64_t i = 1; i <= 4; ++i)
        addLostRequest(evidence, HOLDER, makeLoss(i, {"common", "bad"}, i > 2), NOW);
    cr_assert_eq(findCrashingPart(evidence), std::nullopt, "two trials do not tell them apart");
    addLostRequest(evidence, HOLDER, makeLoss(5, {"common", "bad"}, true), NOW);
    cr_assert_eq(findCrashingPart(evidence), PromptPart("bad"));
    addVerdict(evidence, PromptPart("bad"), NOW);
    cr_assert(evidence.suspicions.empty(), "the verdict explains all losses");
    cr_assert_eq(findCrashingPart(evidence), std::nullopt);
}

// Guards against a sound part that is blamed for the trials of bad ones that came with it.
Test(part_quarantine, part_that_another_request_clears_is_not_blamed_for_joint_trials)
{
    PartEvidence evidence;
    for (std::uint64_t i = 1; i <= 4; ++i)
        addLostRequest(evidence, HOLDER, makeLoss(i, {"bad", "sound"}, i > 2), NOW);
    cr_assert_eq(findCrashingPart(evidence), std::nullopt);
    addAnsweredPart(evidence, {PromptPart("sound"), 0s}, NOW + 1s);
    cr_assert_eq(findCrashingPart(evidence), PromptPart("bad"));
}

Test(part_quarantine, repeated_report_of_a_loss_counts_once)
{
    PartEvidence evidence;
    for (int i = 0; i < 3; ++i)
        addLostRequest(evidence, HOLDER, makeLoss(1, {"a"}), NOW);
    cr_assert_eq(evidence.suspicions.at(PromptPart("a")).losses, 1);
}

// Guards against a part that stays suspected for ever.
Test(part_quarantine, old_losses_no_longer_count)
{
    PartEvidence evidence;
    addLostRequest(evidence, HOLDER, makeLoss(1, {"a"}), NOW);
    removeOldLosses(evidence, NOW + LOSS_RETENTION + 1s);
    cr_assert(evidence.suspicions.empty());
}
