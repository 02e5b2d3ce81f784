/** @file journal_base.h Files of a control member under its data folder. */
#pragma once

#include "consensus/replica_func.h"
#include "core/error_type.h"

#include <memory>
#include <string>

namespace bilberry {

/** Records to write together; with a snapshot the journal file starts anew behind it. */
struct JournalBatch
{
    std::optional<HardState> hardState;
    std::vector<LogEntry> append;
    std::optional<Snapshot> snapshot;
};

/** Append-only journal and snapshot; one owner, one thread. */
class Journal
{
public:
    /** Identity and content of a data folder. */
    struct Content
    {
        MemberId member;
        DurableState state;
        std::size_t tornBytes = 0; ///< Cut off the end: written, but never synced.
    };

    /**
     * Makes a data folder. @return Errc::AlreadyExists if it has an identity already,
     * Errc::FileUnwritable.
     */
    static Result<void> create(const std::string &folder, const MemberId &member,
                               const Membership &founders);

    /** @return Whether the folder has an identity. */
    static bool exists(const std::string &folder);

    /**
     * Opens a data folder and cuts off a torn tail.
     * @param[out] content What it holds.
     * @return Errc::FileUnreadable, Errc::JournalCorrupt if a synced record is damaged.
     */
    static Result<std::unique_ptr<Journal>> open(const std::string &folder, Content &content);

    ~Journal();
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /**
     * Writes all batches with one sync at the end (one more for each snapshot).
     * @return Errc::FileUnwritable; nothing of the batches counts then, and they may be tried
     * again.
     */
    Result<void> write(const std::vector<JournalBatch> &batches);

private:
    Journal(std::string folder, int file, std::uint64_t batch, std::uint64_t size);

    Result<void> append(const std::string &bytes);
    Result<void> startAnew(const JournalBatch &batch);

    std::string folder;
    int file;
    std::uint64_t batch; ///< Number of the latest write.
    std::uint64_t size; ///< Synced bytes of the file.
};

} // namespace bilberry
