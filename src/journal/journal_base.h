/** @file journal_base.h Durable state of a control member: identity, snapshot and write-ahead log
 * in its data folder. */
#pragma once

#include "consensus/replica_func.h"
#include "core/error_type.h"

#include <memory>
#include <string>
#include <unistd.h>

namespace bilberry {

/**
 * Records that are written together. A batch with a snapshot replaces the snapshot and all earlier
 * records of the journal file.
 */
struct JournalBatch
{
    std::optional<HardState> hardState; ///< New term and vote; empty: unchanged.
    std::vector<LogEntry> append; ///< Entries; each replaces earlier ones from its index on.
    std::optional<Snapshot> snapshot; ///< New snapshot; empty: unchanged.
};

/** Function with the arguments and the result of ftruncate(). */
using TruncateFile = int (*)(int file, off_t size);

/** Open journal of one data folder; not thread-safe. */
class Journal
{
public:
    /** Identity and durable state that a data folder holds. */
    struct Content
    {
        MemberId member; ///< Identity of the control member.
        DurableState state; ///< State of the replica as of the last synced batch.
        std::size_t tornBytes = 0; ///< Bytes of unsynced records that open() cut off.
    };

    /**
     * Creates a data folder with an identity, an initial snapshot and an empty journal.
     * @param folder Path of the folder; missing parent folders are created.
     * @param member Identity of the control member.
     * @param founders Initial membership; empty if the member joins an existing group later.
     * @return Errc::AlreadyExists if the folder has an identity, Errc::FileUnwritable.
     */
    static Result<void> create(const std::string &folder, const MemberId &member,
                               const Membership &founders);

    /** @return Whether the folder contains an identity. */
    static bool exists(const std::string &folder);

    /**
     * Opens a data folder, replays its journal and truncates a torn tail: incomplete or damaged
     * records after which no later batch follows. If the disk is full, the tail is cut off before
     * the next batch is written.
     * @param folder Path of the folder.
     * @param[out] content Identity and state that were read.
     * @param truncate Shortens the journal file; tests replace it.
     * @return The journal, or Errc::JournalCorrupt if the identity, the snapshot or a synced record
     * is damaged, Errc::Malformed if one of them cannot be decoded, Errc::FileUnreadable.
     */
    static Result<std::unique_ptr<Journal>> open(const std::string &folder, Content &content,
                                                 TruncateFile truncate = ::ftruncate);

    ~Journal();
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /**
     * Writes the batches and syncs them: once for all of them, and additionally for each snapshot.
     * @param batches Batches in the order in which they were decided.
     * @return Errc::FileUnwritable; the caller must then treat none of the batches as durable, and
     * may write the same batches again.
     */
    Result<void> write(const std::vector<JournalBatch> &batches);

private:
    Journal(std::string folder, int file, std::uint64_t batch, std::uint64_t size);

    /** Appends @p bytes to the journal file and syncs it. @return Errc::FileUnwritable. */
    Result<void> append(std::string bytes);
    /**
     * Replaces the snapshot by the one of @p batch and the journal file by the batch's records.
     * @return Errc::FileUnwritable.
     */
    Result<void> resetToSnapshot(const JournalBatch &batch);

    /** Cuts off what follows the synced part. @return False if the disk refuses it. */
    bool cutTail();

    std::string folder;
    TruncateFile truncate = ::ftruncate;
    bool hasTail = false; ///< Whether unsynced bytes may follow the synced part of the file.
    int file; ///< File descriptor of the journal file.
    std::uint64_t batch; ///< Number of the last batch written.
    std::uint64_t syncedBatch
        = 0; ///< Number of the last batch in the synced part of the file; 0: none.
    std::uint64_t size; ///< Length of the synced part of the journal file in bytes.
};

} // namespace bilberry
