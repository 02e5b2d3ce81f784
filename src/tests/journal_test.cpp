/** @file journal_test.cpp What waits for a full disk, and what is durable afterwards. */
#include "control/journal_backlog_func.h"
#include "journal/journal_base.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <random>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

/** Decides writes as a member does whose log is truncated, extended and compacted. */
class Decisions
{
public:
    explicit Decisions(unsigned seed)
        : random(seed)
    {
    }

    JournalWrite next()
    {
        JournalWrite write;
        const int kind = std::uniform_int_distribution<>(0, 99)(this->random);
        if (kind < 10)
            write.hardState = HardState{++this->term, std::nullopt};
        else if (kind < 15)
            this->snapshot(write);
        else
            this->append(write);
        write.afterSync.push_back({MemberId("m2"), AppendReply{this->term, true, this->last, {}}});
        return write;
    }

private:
    void append(JournalWrite &write)
    {
        const bool conflicts
            = this->last > this->first && std::uniform_int_distribution<>(0, 9)(this->random) == 0;
        if (conflicts)
            this->last
                = std::uniform_int_distribution<LogIndex>(this->first, this->last)(this->random);
        for (int i = 0; i < 3; ++i)
            write.append.push_back({++this->last, this->term, EntryKind::Command, "payload"});
        this->log.resize(write.append.front().index - this->first - 1);
        this->log.insert(this->log.end(), write.append.begin(), write.append.end());
    }

    void snapshot(JournalWrite &write)
    {
        const LogIndex index
            = std::uniform_int_distribution<LogIndex>(this->first, this->last)(this->random);
        if (index == this->first)
            return;
        this->log.erase(this->log.begin(),
                        this->log.begin() + static_cast<std::ptrdiff_t>(index - this->first));
        this->first = index;
        write.snapshot = Snapshot{};
        write.snapshot->index = index;
        write.hardState = HardState{this->term, std::nullopt};
        write.append = this->log;
    }

    std::mt19937_64 random;
    Term term = 1;
    LogIndex first = 0; ///< Index of the snapshot.
    LogIndex last = 0;
    std::vector<LogEntry> log;
};

int refuseTruncation(int, off_t)
{
    errno = ENOSPC;
    return -1;
}

/** @return State that a journal has after the writes. */
nlohmann::json stateAfter(const std::vector<JournalWrite> &writes)
{
    const auto folder
        = std::filesystem::temp_directory_path() / ("journal-backlog-" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    cr_assert(Journal::create(folder, MemberId("m1"), {}));
    Journal::Content content;
    {
        auto journal = std::move(Journal::open(folder, content)).value();
        std::vector<JournalBatch> batches;
        for (const JournalWrite &write : writes)
            batches.push_back({write.hardState, write.append, write.snapshot});
        cr_assert(journal->write(batches));
    }
    Journal::Content result;
    cr_assert(Journal::open(folder, result));
    std::filesystem::remove_all(folder);
    const DurableState &state = result.state;
    return {state.hardState, state.latestSnapshot, std::vector(state.log.begin(), state.log.end())};
}

} // namespace

// Guards against a member whose threads wait for each other for good after its disk was full for
// long, or whose memory runs out meanwhile: all writes and all snapshots of that time were queued.
Test(journal, long_outage_leaves_one_write)
{
    Decisions decisions(1);
    std::vector<JournalWrite> waiting;
    for (int i = 0; i < 100'000; ++i) {
        waiting.push_back(decisions.next());
        if (i % 100 == 0)
            compactBacklog(waiting);
        cr_assert_leq(waiting.size(), 101);
    }
    compactBacklog(waiting);
    cr_expect_eq(waiting.size(), 1);
    cr_expect_leq(waiting.front().afterSync.size(), MAX_BACKLOG_MESSAGES);
}

// Guards against a compaction that loses or brings back an entry, a term or a snapshot.
Test(journal, compacted_writes_lead_to_the_same_durable_state, .timeout = 60)
{
    for (unsigned seed = 1; seed <= 30; ++seed) {
        Decisions decisions(seed);
        std::vector<JournalWrite> all;
        for (int i = 0; i < 60; ++i)
            all.push_back(decisions.next());
        std::vector<JournalWrite> waiting;
        for (const JournalWrite &write : all) {
            waiting.push_back(write);
            if (waiting.size() > seed % 7)
                compactBacklog(waiting);
        }
        cr_expect_eq(stateAfter(all), stateAfter(waiting), "seed %u", seed);
    }
}

// Guards against a control member that ends again and again at its start: it was killed in the
// middle of a write, and its disk is still full.
Test(journal, member_starts_while_its_disk_is_full)
{
    const auto folder
        = std::filesystem::temp_directory_path() / ("journal-full-" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    cr_assert(Journal::create(folder, MemberId("m1"), {}));
    Journal::Content content;
    const JournalBatch first{HardState{3, std::nullopt}, {{1, 3, EntryKind::Command, "a"}}, {}};
    cr_assert(std::move(Journal::open(folder, content)).value()->write({first}));
    std::ofstream(folder / "journal", std::ios::app) << "torn";

    Journal::Content full;
    auto waiting = Journal::open(folder, full, refuseTruncation);
    cr_assert(waiting, "the member does not start");
    cr_expect_eq(full.tornBytes, 4);
    cr_expect_eq(full.state.log.size(), 1);
    const JournalBatch second{std::nullopt, {{2, 3, EntryKind::Command, "b"}}, {}};
    cr_expect(!waiting.value()->write({second}), "written behind a torn tail");

    Journal::Content room;
    cr_assert(std::move(Journal::open(folder, room)).value()->write({second}));
    cr_assert(Journal::open(folder, content));
    cr_expect_eq(content.tornBytes, 0);
    cr_expect_eq(content.state.log.size(), 2);
    std::filesystem::remove_all(folder);
}
