/** @file journal_test.cpp What waits for a full disk, and what is durable afterwards. */
#include "control/journal_backlog_func.h"
#include "journal/journal_base.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <optional>
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

/** Folder with a journal of @p batches batches of three entries, each of @p entryBytes. */
struct WrittenJournal
{
    WrittenJournal(int batches, std::size_t entryBytes, bool compacted)
        : folder(std::filesystem::temp_directory_path()
                 / ("journal-torn-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(this->folder);
        cr_assert(Journal::create(this->folder, MemberId("m1"), {}));
        Journal::Content content;
        auto journal = std::move(Journal::open(this->folder, content)).value();
        LogIndex last = 0;
        for (int i = 0; i < batches; ++i) {
            this->ends.push_back(std::filesystem::file_size(this->folder / "journal"));
            JournalBatch batch;
            if (compacted && i == 1)
                batch.snapshot = Snapshot{last, 1, {}, ""};
            for (int entry = 0; entry < 3; ++entry)
                batch.append.push_back(
                    {++last, 1, EntryKind::Command, std::string(entryBytes, 'x')});
            cr_assert(journal->write({batch}));
            if (batch.snapshot)
                this->ends.back() = 0;
            this->indexes.push_back(last);
        }
        this->ends.push_back(std::filesystem::file_size(this->folder / "journal"));
    }
    ~WrittenJournal() { std::filesystem::remove_all(this->folder); }

    /** Loses bytes of the file, as pages that never reached the disk. */
    void lose(std::size_t begin, std::size_t size) const
    {
        std::fstream file(this->folder / "journal",
                          std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(static_cast<std::streamoff>(begin));
        file << std::string(size, '\0');
    }

    /** @return Index of the last entry that a start finds; nothing if it does not start. */
    std::optional<LogIndex> start() const
    {
        Journal::Content content;
        if (!Journal::open(this->folder, content))
            return std::nullopt;
        const auto &log = content.state.log;
        return log.empty() ? content.state.latestSnapshot.index : log.back().index;
    }

    const std::filesystem::path folder;
    std::vector<std::size_t> ends; ///< Length of the file before each batch, and at the end.
    std::vector<LogIndex> indexes; ///< Last index after each batch.
};

// Guards against a control member that never starts again after a loss of power: of the write that
// was not synced, an earlier page was lost and a later one was kept.
Test(journal, member_starts_after_any_part_of_its_last_write_was_lost, .timeout = 60)
{
    for (const bool compacted : {false, true}) {
        for (const int batches : {1, 2, 4}) {
            const std::size_t size = 700;
            for (std::size_t lost = 0;; lost += 50) {
                const WrittenJournal written(batches, size, compacted && batches > 2);
                const std::size_t begin = written.ends[static_cast<std::size_t>(batches) - 1];
                if (begin + lost + 200 > written.ends.back())
                    break;
                written.lose(begin + lost, 200);
                const std::optional<LogIndex> last = written.start();
                cr_assert(last, "%d batches, bytes from %zu on lost: does not start", batches,
                          lost);
                cr_expect_geq(*last,
                              batches > 1 ? written.indexes[static_cast<std::size_t>(batches) - 2]
                                          : 0);
                cr_expect_eq(*written.start(), *last, "a second start finds something else");
            }
        }
    }
}

// Guards against a member that takes damage to synced data for such a write, and forgets what it
// has acknowledged.
Test(journal, damage_to_synced_data_is_no_torn_write, .timeout = 60)
{
    for (const bool compacted : {false, true}) {
        for (int damaged = 0; damaged < 3; ++damaged) {
            const WrittenJournal written(4, 700, compacted);
            const auto batch = static_cast<std::size_t>(damaged);
            if (compacted && damaged == 0)
                continue; // Its records are in the snapshot.
            for (const std::size_t lost : {std::size_t(0), std::size_t(900), std::size_t(1'500)}) {
                const WrittenJournal again(4, 700, compacted);
                again.lose(again.ends[batch] + lost, 200);
                cr_expect_not(again.start().has_value(), "batch %d, bytes from %zu on", damaged,
                              lost);
            }
        }
    }
}

// Guards against the same after a start that cut a torn write off, since the next write has a
// number that does not follow directly.
Test(journal, write_after_a_torn_one_may_be_torn_too)
{
    const WrittenJournal written(2, 700, false);
    written.lose(written.ends[1], 200);
    Journal::Content content;
    {
        auto journal = std::move(Journal::open(written.folder, content)).value();
        const std::size_t begin = std::filesystem::file_size(written.folder / "journal");
        JournalBatch batch;
        for (LogIndex index = 4; index < 7; ++index)
            batch.append.push_back({index, 1, EntryKind::Command, std::string(700, 'y')});
        cr_assert(journal->write({batch}));
        written.lose(begin, 200);
    }
    cr_expect_eq(written.start().value_or(0), 3);
}
