/** @file journal.cpp Write-ahead log of a control member, with checksums and snapshots. */
#include "journal/journal_base.h"

#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace bilberry {

namespace {

using JournalRecord = std::variant<HardState, LogEntry>;

/**
 * Precedes each record in the journal file. A batch is written only after the previous one was
 * synced, so a record of a later batch proves that all records of earlier batches were synced.
 */
struct RecordHeader
{
    std::uint32_t length = 0; ///< Length of the payload in bytes.
    std::uint32_t payloadChecksum = 0; ///< CRC-32C of the payload.
    std::uint64_t batch = 0; ///< Number of the batch; increases with each write.
    std::uint32_t headerChecksum = 0; ///< CRC-32C of the fields above.
    /** BatchMark of the record; 0 in files of earlier versions. */
    std::uint32_t mark = 0;
};
static_assert(sizeof(RecordHeader) == 24);
constexpr std::size_t CHECKSUMMED_HEADER_BYTES = 16; ///< Bytes covered by headerChecksum.

std::string filePath(const std::string &folder, const char *name)
{
    return folder + "/" + name;
}

std::uint32_t headerChecksum(const RecordHeader &header)
{
    return checksumOf({reinterpret_cast<const char *>(&header), CHECKSUMMED_HEADER_BYTES});
}

void appendRecord(std::string &out, const JournalRecord &record, std::uint64_t batch)
{
    const std::string payload = encode(record);
    RecordHeader header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.payloadChecksum = checksumOf(payload);
    header.batch = batch;
    header.headerChecksum = headerChecksum(header);
    out.append(reinterpret_cast<const char *>(&header), sizeof header);
    out.append(payload);
}

void appendBatch(std::string &out, const JournalBatch &batch, std::uint64_t number)
{
    if (batch.hardState)
        appendRecord(out, *batch.hardState, number);
    for (const LogEntry &entry : batch.append)
        appendRecord(out, entry, number);
}

constexpr std::uint64_t UNKNOWN_BATCH = std::numeric_limits<std::uint64_t>::max();

/** Where a record stands in the sequence of synced batches. */
struct BatchMark
{
    /** Number of the batch before this one; 0: it is the first one of its file. */
    std::uint64_t before = UNKNOWN_BATCH;
    bool endsBatch = false; ///< The record is the last one of its batch.
};

constexpr std::uint32_t MARK_SIGN = 0xB47C0000; ///< Upper half of a mark.
constexpr std::uint32_t MARK_SIGN_BITS = 0xFFFF0000;
constexpr std::uint32_t MARK_END_BIT = 0x8000;
/** Difference of the two numbers; 0: the first batch; all bits: not known. */
constexpr std::uint32_t MARK_DISTANCE_BITS = 0x7FFF;

std::uint32_t encodeMark(std::uint64_t batch, const BatchMark &mark)
{
    const bool isKnown
        = mark.before == 0 || (mark.before < batch && batch - mark.before < MARK_DISTANCE_BITS);
    std::uint64_t distance = MARK_DISTANCE_BITS;
    if (isKnown)
        distance = mark.before == 0 ? 0 : batch - mark.before;
    return MARK_SIGN | (mark.endsBatch ? MARK_END_BIT : 0) | static_cast<std::uint32_t>(distance);
}

std::optional<BatchMark> decodeMark(const RecordHeader &header)
{
    if ((header.mark & MARK_SIGN_BITS) != MARK_SIGN)
        return std::nullopt;
    BatchMark mark{UNKNOWN_BATCH, (header.mark & MARK_END_BIT) != 0};
    const std::uint32_t distance = header.mark & MARK_DISTANCE_BITS;
    if (distance != MARK_DISTANCE_BITS)
        mark.before = distance == 0 ? 0 : header.batch - distance;
    return mark;
}

/** Marks the records in @p bytes, which are written together, behind the batch @p before. */
void markRecords(std::string &bytes, std::uint64_t before)
{
    for (std::size_t at = 0; at < bytes.size();) {
        RecordHeader header;
        std::memcpy(&header, bytes.data() + at, sizeof header);
        const std::size_t next = at + sizeof header + header.length;
        header.mark = encodeMark(header.batch, {before, next == bytes.size()});
        std::memcpy(bytes.data() + at, &header, sizeof header);
        at = next;
    }
}

/**
 * Reads the record at @p offset.
 * @param[out] header Header of the record.
 * @param[out] payload Payload of the record, as a view of @p bytes.
 * @return False if the record is incomplete or fails a checksum.
 */
bool readRecord(const std::string &bytes, std::size_t offset, RecordHeader &header,
                std::string_view &payload)
{
    if (bytes.size() - offset < sizeof header)
        return false;
    std::memcpy(&header, bytes.data() + offset, sizeof header);
    if (header.headerChecksum != headerChecksum(header)
        || bytes.size() - offset - sizeof header < header.length)
        return false;
    payload = std::string_view(bytes).substr(offset + sizeof header, header.length);
    return checksumOf(payload) == header.payloadChecksum;
}

/** @return Header of the last whole record after @p offset; a batch of 0 if there is none. */
RecordHeader findLastRecord(const std::string &bytes, std::size_t offset)
{
    RecordHeader last;
    for (std::size_t at = offset + 1; at + sizeof(RecordHeader) <= bytes.size(); ++at) {
        RecordHeader header;
        std::string_view payload;
        if (readRecord(bytes, at, header, payload) && header.batch >= last.batch)
            last = header;
    }
    return last;
}

/**
 * Distinguishes damage to synced data from a write that a loss of power has torn: any part of such
 * a write may be missing, its first record too, but then it is the last write, and all before it
 * are whole.
 * @param whole Header of the last record before the damage; a batch of 0 if there is none.
 * @return Whether synced data is damaged at @p offset.
 */
bool isSyncedDataDamaged(const std::string &bytes, std::size_t offset, const RecordHeader &whole)
{
    const RecordHeader last = findLastRecord(bytes, offset);
    if (last.batch <= whole.batch)
        return false;
    const std::optional<BatchMark> lastMark = decodeMark(last);
    const std::optional<BatchMark> wholeMark = decodeMark(whole);
    const bool earlierAreWhole = whole.batch == 0 || (wholeMark && wholeMark->endsBatch);
    return !lastMark || !earlierAreWhole || lastMark->before != whole.batch;
}

/**
 * Replays one record. An entry replaces all entries from its index on, as a follower truncates a
 * conflicting tail; entries that the snapshot contains are skipped.
 */
void applyRecord(DurableState &state, JournalRecord record)
{
    if (auto *hardState = std::get_if<HardState>(&record)) {
        state.hardState = *hardState;
        return;
    }
    LogEntry &entry = std::get<LogEntry>(record);
    while (!state.log.empty() && state.log.back().index >= entry.index)
        state.log.pop_back();
    if (entry.index > state.latestSnapshot.index)
        state.log.push_back(std::move(entry));
}

Result<std::string> readFile(const std::string &name)
{
    std::ifstream in(name, std::ios::binary);
    if (!in)
        return Errc::FileUnreadable;
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

bool writeAll(int file, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::write(file, bytes.data() + done, bytes.size() - done);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

void syncFolder(const std::string &folder)
{
    const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0)
        return;
    ::fsync(file);
    ::close(file);
}

/** Replaces a file atomically: after a crash, it has either the old or the new content. */
Result<void> replaceFile(const std::string &folder, const char *name, const std::string &bytes)
{
    const std::string temporary = filePath(folder, name) + ".new";
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0)
        return Errc::FileUnwritable;
    const bool written = writeAll(file, bytes) && ::fsync(file) == 0;
    ::close(file);
    if (!written || ::rename(temporary.c_str(), filePath(folder, name).c_str()) != 0)
        return Errc::FileUnwritable;
    syncFolder(folder);
    return boost::outcome_v2::success();
}

/** @return @p payload, preceded by its CRC-32C. */
std::string encodeWithChecksum(const std::string &payload)
{
    const std::uint32_t checksum = checksumOf(payload);
    return std::string(reinterpret_cast<const char *>(&checksum), sizeof checksum) + payload;
}

Result<Snapshot> readSnapshot(const std::string &folder)
{
    BOOST_OUTCOME_TRY(bytes, readFile(filePath(folder, "snapshot")));
    std::uint32_t checksum = 0;
    if (bytes.size() < sizeof checksum)
        return Errc::JournalCorrupt;
    std::memcpy(&checksum, bytes.data(), sizeof checksum);
    const std::string_view payload = std::string_view(bytes).substr(sizeof checksum);
    if (checksumOf(payload) != checksum)
        return Errc::JournalCorrupt;
    return decode<Snapshot>(payload);
}

} // namespace

Journal::Journal(std::string folder, int file, std::uint64_t batch, std::uint64_t size)
    : folder(std::move(folder))
    , file(file)
    , batch(batch)
    , size(size)
{
}

Journal::~Journal()
{
    ::close(this->file);
}

bool Journal::exists(const std::string &folder)
{
    return std::filesystem::exists(filePath(folder, "identity"));
}

Result<void> Journal::create(const std::string &folder, const MemberId &member,
                             const Membership &founders)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        return Errc::FileUnwritable;
    if (exists(folder))
        return Errc::AlreadyExists;
    Snapshot latestSnapshot;
    latestSnapshot.membership = founders;
    BOOST_OUTCOME_TRYV(replaceFile(folder, "snapshot", encodeWithChecksum(encode(latestSnapshot))));
    BOOST_OUTCOME_TRYV(replaceFile(folder, "journal", ""));
    // The identity is written last, because a folder without an identity counts as empty: after a
    // crash in between, the creation can be repeated.
    return replaceFile(folder, "identity", encodeWithChecksum(encode(member)));
}

Result<std::unique_ptr<Journal>> Journal::open(const std::string &folder, Content &content,
                                               TruncateFile truncate)
{
    BOOST_OUTCOME_TRY(identity, readFile(filePath(folder, "identity")));
    if (identity.size() < sizeof(std::uint32_t)
        || encodeWithChecksum(identity.substr(sizeof(std::uint32_t))) != identity)
        return Errc::JournalCorrupt;
    BOOST_OUTCOME_TRY(member, decode<MemberId>(identity.substr(sizeof(std::uint32_t))));
    content.member = member;
    BOOST_OUTCOME_TRY(latestSnapshot, readSnapshot(folder));
    content.state.latestSnapshot = latestSnapshot;
    BOOST_OUTCOME_TRY(bytes, readFile(filePath(folder, "journal")));
    std::size_t offset = 0;
    RecordHeader whole;
    RecordHeader header;
    std::string_view payload;
    while (offset < bytes.size() && readRecord(bytes, offset, header, payload)) {
        BOOST_OUTCOME_TRY(record, decode<JournalRecord>(payload));
        applyRecord(content.state, record);
        whole = header;
        offset += sizeof header + payload.size();
    }
    if (offset < bytes.size() && isSyncedDataDamaged(bytes, offset, whole))
        return Errc::JournalCorrupt;
    content.tornBytes = bytes.size() - offset;
    const int file = ::open(filePath(folder, "journal").c_str(), O_WRONLY | O_CLOEXEC);
    if (file < 0)
        return Errc::FileUnreadable;
    // Skips one batch number, so that no later batch has the number of the batch whose torn tail
    // is cut off.
    std::unique_ptr<Journal> journal(new Journal(folder, file, whole.batch + 1, offset));
    journal->syncedBatch = whole.batch;
    journal->truncate = truncate;
    journal->hasTail = content.tornBytes > 0;
    // On a full disk the tail stays until there is room for the next batch.
    (void)journal->cutTail();
    return journal;
}

bool Journal::cutTail()
{
    if (!this->hasTail)
        return true;
    this->hasTail = this->truncate(this->file, static_cast<off_t>(this->size)) != 0
        || ::fsync(this->file) != 0;
    return !this->hasTail;
}

Result<void> Journal::append(std::string bytes)
{
    markRecords(bytes, this->syncedBatch);
    const auto end = static_cast<off_t>(this->size);
    if (!this->cutTail())
        return Errc::FileUnwritable;
    const bool written = ::lseek(this->file, end, SEEK_SET) == end && writeAll(this->file, bytes)
        && ::fdatasync(this->file) == 0;
    if (!written) {
        this->hasTail = true;
        return Errc::FileUnwritable;
    }
    this->size += bytes.size();
    this->syncedBatch = this->batch;
    return boost::outcome_v2::success();
}

Result<void> Journal::resetToSnapshot(const JournalBatch &batch)
{
    // A crash between the two replacements leaves the new snapshot with the old journal file.
    // applyRecord() then skips the entries that the snapshot contains.
    BOOST_OUTCOME_TRYV(
        replaceFile(this->folder, "snapshot", encodeWithChecksum(encode(*batch.snapshot))));
    std::string bytes;
    appendBatch(bytes, batch, this->batch);
    markRecords(bytes,
                UNKNOWN_BATCH); // A replaced file is never torn: its damage is no torn write.
    BOOST_OUTCOME_TRYV(replaceFile(this->folder, "journal", bytes));
    const int next = ::open(filePath(this->folder, "journal").c_str(), O_WRONLY | O_CLOEXEC);
    if (next < 0)
        return Errc::FileUnwritable;
    ::close(this->file);
    this->file = next;
    this->size = bytes.size();
    this->syncedBatch = bytes.empty() ? 0 : this->batch;
    this->hasTail = false;
    return boost::outcome_v2::success();
}

Result<void> Journal::write(const std::vector<JournalBatch> &batches)
{
    ++this->batch;
    std::string bytes;
    for (const JournalBatch &item : batches) {
        if (!item.snapshot) {
            appendBatch(bytes, item, this->batch);
            continue;
        }
        // The entries of the earlier batches are in the snapshot or are repeated in the
        // batch that contains the snapshot.
        bytes.clear();
        BOOST_OUTCOME_TRYV(this->resetToSnapshot(item));
    }
    return bytes.empty() ? Result<void>(boost::outcome_v2::success())
                         : this->append(std::move(bytes));
}

} // namespace bilberry
