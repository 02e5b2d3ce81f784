/** @file journal.cpp Write-ahead log of a control member, with checksums and snapshots. */
#include "journal/journal_base.h"

#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
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
    std::uint32_t reserved = 0; ///< Padding; always 0.
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

std::string encodeBatch(const JournalBatch &batch, std::uint64_t number)
{
    std::string out;
    if (batch.hardState)
        appendRecord(out, *batch.hardState, number);
    for (const LogEntry &entry : batch.append)
        appendRecord(out, entry, number);
    return out;
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

/**
 * Distinguishes damage to synced data from a torn write at the end of the file.
 * @return Whether a valid record of a batch later than @p batch follows after @p offset.
 */
bool hasLaterBatch(const std::string &bytes, std::size_t offset, std::uint64_t batch)
{
    for (std::size_t at = offset + 1; at + sizeof(RecordHeader) <= bytes.size(); ++at) {
        RecordHeader header;
        std::string_view payload;
        if (readRecord(bytes, at, header, payload) && header.batch > batch)
            return true;
    }
    return false;
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
    std::uint64_t batch = 0;
    RecordHeader header;
    std::string_view payload;
    while (offset < bytes.size() && readRecord(bytes, offset, header, payload)) {
        BOOST_OUTCOME_TRY(record, decode<JournalRecord>(payload));
        applyRecord(content.state, record);
        batch = header.batch;
        offset += sizeof header + payload.size();
    }
    if (offset < bytes.size() && hasLaterBatch(bytes, offset, batch))
        return Errc::JournalCorrupt;
    content.tornBytes = bytes.size() - offset;
    const int file = ::open(filePath(folder, "journal").c_str(), O_WRONLY | O_CLOEXEC);
    if (file < 0)
        return Errc::FileUnreadable;
    // Skips one batch number, so that no later batch has the number of the batch whose torn tail
    // is cut off.
    std::unique_ptr<Journal> journal(new Journal(folder, file, batch + 1, offset));
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

Result<void> Journal::append(const std::string &bytes)
{
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
    return boost::outcome_v2::success();
}

Result<void> Journal::resetToSnapshot(const JournalBatch &batch)
{
    // A crash between the two replacements leaves the new snapshot with the old journal file.
    // applyRecord() then skips the entries that the snapshot contains.
    BOOST_OUTCOME_TRYV(
        replaceFile(this->folder, "snapshot", encodeWithChecksum(encode(*batch.snapshot))));
    const std::string bytes = encodeBatch(batch, this->batch);
    BOOST_OUTCOME_TRYV(replaceFile(this->folder, "journal", bytes));
    const int next = ::open(filePath(this->folder, "journal").c_str(), O_WRONLY | O_CLOEXEC);
    if (next < 0)
        return Errc::FileUnwritable;
    ::close(this->file);
    this->file = next;
    this->size = bytes.size();
    this->hasTail = false;
    return boost::outcome_v2::success();
}

Result<void> Journal::write(const std::vector<JournalBatch> &batches)
{
    ++this->batch;
    std::string bytes;
    for (const JournalBatch &item : batches) {
        if (!item.snapshot) {
            bytes += encodeBatch(item, this->batch);
            continue;
        }
        // The entries of the earlier batches are in the snapshot or are repeated in the
        // batch that contains the snapshot.
        bytes.clear();
        BOOST_OUTCOME_TRYV(this->resetToSnapshot(item));
    }
    return bytes.empty() ? Result<void>(boost::outcome_v2::success()) : this->append(bytes);
}

} // namespace bilberry
