/** @file journal.cpp Checksummed append-only journal with snapshots. */
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

/** Precedes each record; a record of a later batch proves that all earlier ones were synced. */
struct RecordHeader
{
    std::uint32_t length = 0;
    std::uint32_t payloadChecksum = 0;
    std::uint64_t batch = 0;
    std::uint32_t headerChecksum = 0; ///< Of the fields above.
    std::uint32_t reserved = 0;
};
static_assert(sizeof(RecordHeader) == 24);
constexpr std::size_t CHECKED_HEADER_BYTES = 16;

std::string path(const std::string &folder, const char *name)
{
    return folder + "/" + name;
}

std::uint32_t headerChecksum(const RecordHeader &header)
{
    return checksumOf({reinterpret_cast<const char *>(&header), CHECKED_HEADER_BYTES});
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

/** Reads one record at @p offset. @return False if there is no whole and sound one. */
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

/** @return Whether a sound record of a batch after @p batch stands behind @p offset. */
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

void take(DurableState &state, JournalRecord record)
{
    if (auto *hard = std::get_if<HardState>(&record)) {
        state.hard = *hard;
        return;
    }
    LogEntry &entry = std::get<LogEntry>(record);
    while (!state.log.empty() && state.log.back().index >= entry.index)
        state.log.pop_back();
    if (entry.index > state.base.index)
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

/** Replaces a file so that after a crash either the old or the new content is there. */
Result<void> replaceFile(const std::string &folder, const char *name, const std::string &bytes)
{
    const std::string temporary = path(folder, name) + ".new";
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0)
        return Errc::FileUnwritable;
    const bool written = writeAll(file, bytes) && ::fsync(file) == 0;
    ::close(file);
    if (!written || ::rename(temporary.c_str(), path(folder, name).c_str()) != 0)
        return Errc::FileUnwritable;
    syncFolder(folder);
    return boost::outcome_v2::success();
}

std::string encodeChecked(const std::string &payload)
{
    const std::uint32_t checksum = checksumOf(payload);
    return std::string(reinterpret_cast<const char *>(&checksum), sizeof checksum) + payload;
}

Result<Snapshot> readSnapshot(const std::string &folder)
{
    BOOST_OUTCOME_TRY(bytes, readFile(path(folder, "snapshot")));
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
    return std::filesystem::exists(path(folder, "identity"));
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
    Snapshot base;
    base.membership = founders;
    BOOST_OUTCOME_TRYV(replaceFile(folder, "snapshot", encodeChecked(encode(base))));
    BOOST_OUTCOME_TRYV(replaceFile(folder, "journal", ""));
    // The identity comes last: without it the folder counts as empty.
    return replaceFile(folder, "identity", encodeChecked(encode(member)));
}

Result<std::unique_ptr<Journal>> Journal::open(const std::string &folder, Content &content)
{
    BOOST_OUTCOME_TRY(identity, readFile(path(folder, "identity")));
    if (identity.size() < sizeof(std::uint32_t)
        || encodeChecked(identity.substr(sizeof(std::uint32_t))) != identity)
        return Errc::JournalCorrupt;
    BOOST_OUTCOME_TRY(member, decode<MemberId>(identity.substr(sizeof(std::uint32_t))));
    content.member = member;
    BOOST_OUTCOME_TRY(base, readSnapshot(folder));
    content.state.base = base;
    BOOST_OUTCOME_TRY(bytes, readFile(path(folder, "journal")));
    std::size_t offset = 0;
    std::uint64_t batch = 0;
    RecordHeader header;
    std::string_view payload;
    while (offset < bytes.size() && readRecord(bytes, offset, header, payload)) {
        BOOST_OUTCOME_TRY(record, decode<JournalRecord>(payload));
        take(content.state, record);
        batch = header.batch;
        offset += sizeof header + payload.size();
    }
    if (offset < bytes.size() && hasLaterBatch(bytes, offset, batch))
        return Errc::JournalCorrupt;
    content.tornBytes = bytes.size() - offset;
    const int file = ::open(path(folder, "journal").c_str(), O_WRONLY | O_CLOEXEC);
    if (file < 0)
        return Errc::FileUnreadable;
    const bool cut = ::ftruncate(file, static_cast<off_t>(offset)) == 0 && ::fsync(file) == 0;
    // Batch numbers go on with a gap: what a torn tail held is not taken for a later batch.
    std::unique_ptr<Journal> journal(new Journal(folder, file, batch + 1, offset));
    if (!cut)
        return Errc::FileUnwritable;
    return journal;
}

Result<void> Journal::append(const std::string &bytes)
{
    const auto end = static_cast<off_t>(this->size);
    // What an earlier failed attempt may have left behind is overwritten.
    const bool written = ::ftruncate(this->file, end) == 0
        && ::lseek(this->file, end, SEEK_SET) == end && writeAll(this->file, bytes)
        && ::fdatasync(this->file) == 0;
    if (!written)
        return Errc::FileUnwritable;
    this->size += bytes.size();
    return boost::outcome_v2::success();
}

Result<void> Journal::startAnew(const JournalBatch &batch)
{
    // A crash in between leaves the new snapshot with the old journal: entries up to the snapshot
    // are skipped when that is read.
    BOOST_OUTCOME_TRYV(
        replaceFile(this->folder, "snapshot", encodeChecked(encode(*batch.snapshot))));
    const std::string bytes = encodeBatch(batch, this->batch);
    BOOST_OUTCOME_TRYV(replaceFile(this->folder, "journal", bytes));
    const int next = ::open(path(this->folder, "journal").c_str(), O_WRONLY | O_CLOEXEC);
    if (next < 0)
        return Errc::FileUnwritable;
    ::close(this->file);
    this->file = next;
    this->size = bytes.size();
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
        // Everything before is contained in the snapshot or repeated behind it.
        bytes.clear();
        BOOST_OUTCOME_TRYV(this->startAnew(item));
    }
    return bytes.empty() ? Result<void>(boost::outcome_v2::success()) : this->append(bytes);
}

} // namespace bilberry
