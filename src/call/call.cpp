/** @file call.cpp Records calls so that each is dispatched at most once. */
#include "call/call_func.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

namespace {

/** @return Bytes of @p answer that count against the bounds of stored answers. */
std::size_t sizeOf(const StoredAnswer &answer)
{
    return answer.contentType.size() + answer.body.size();
}

void addStoredBytes(CallTable &table, const AccountId &account, std::size_t bytes)
{
    if (bytes == 0)
        return;
    table.storedBytes[account] += bytes;
    table.totalStoredBytes += bytes;
}

void removeStoredBytes(CallTable &table, const AccountId &account, std::size_t bytes)
{
    if (bytes == 0)
        return;
    const auto stored = table.storedBytes.find(account);
    assert(stored != table.storedBytes.end() && stored->second >= bytes);
    stored->second -= bytes;
    if (stored->second == 0)
        table.storedBytes.erase(stored);
    table.totalStoredBytes -= bytes;
}

/**
 * @return Whether an answer of @p bytes of @p account may be stored. An account may store as much
 *         as is left for all accounts, so that accounts with many bytes leave room for others.
 */
bool hasRoom(const CallTable &table, const AccountId &account, std::size_t bytes)
{
    // A table that was restored from an earlier release may exceed the bound.
    const std::size_t left = MAX_STORED_BYTES - std::min(table.totalStoredBytes, MAX_STORED_BYTES);
    const auto stored = table.storedBytes.find(account);
    const std::size_t after = bytes + (stored == table.storedBytes.end() ? 0 : stored->second);
    return bytes <= MAX_STORED_ANSWER_BYTES
        && after <= std::min(MAX_STORED_BYTES_PER_ACCOUNT, left);
}

void eraseRecord(CallTable &table, std::map<CallId, CallRecord>::iterator it)
{
    const auto count = table.counts.find(it->first.account);
    assert(count != table.counts.end() && count->second > 0);
    removeStoredBytes(table, it->first.account, sizeOf(it->second.answer));
    if (--count->second == 0)
        table.counts.erase(count);
    table.records.erase(it);
}

} // namespace

void to_json(nlohmann::json &json, const CallTable &table)
{
    json = nlohmann::json::object();
    json["records"] = table.records;
    json["counts"] = table.counts;
}

void from_json(const nlohmann::json &json, CallTable &table)
{
    table = {};
    table.records = json.value("records", table.records);
    table.counts = json.value("counts", table.counts);
    for (const auto &[id, record] : table.records)
        addStoredBytes(table, id.account, sizeOf(record.answer));
}

CallVerdict beginCall(CallTable &table, const CallId &id, const Digest &body,
                      const CallOwner &owner, Duration clock)
{
    const auto it = table.records.find(id);
    if (it == table.records.end()) {
        std::size_t &count = table.counts[id.account];
        if (count >= MAX_CALL_RECORDS_PER_ACCOUNT)
            return CallVerdict::TableFull;
        ++count;
        table.records.emplace(id, CallRecord{body, owner, CallStatus::Running, {}, clock});
        return CallVerdict::Dispatch;
    }
    const CallRecord &record = it->second;
    if (record.body != body)
        return CallVerdict::IdempotencyConflict;
    if (record.status == CallStatus::Done)
        return CallVerdict::Replay;
    if (record.status == CallStatus::Undetermined)
        return CallVerdict::MayHaveRun;
    return record.owner == owner ? CallVerdict::Dispatch : CallVerdict::Join;
}

bool endCall(CallTable &table, const CallId &id, const CallOwner &owner, CallEnd end,
             StoredAnswer answer)
{
    const auto it = table.records.find(id);
    if (it == table.records.end() || it->second.owner != owner)
        return false;
    CallRecord &record = it->second;
    // The owner's answer may arrive after the owner was declared lost; it still ends the call.
    const bool canEnd = record.status == CallStatus::Running
        || (record.status == CallStatus::Undetermined && end == CallEnd::Answered);
    if (!canEnd)
        return false;
    if (end == CallEnd::NotRun) {
        eraseRecord(table, it);
        return true;
    }
    if (end == CallEnd::Lost) {
        record.status = CallStatus::Undetermined;
        return true;
    }
    record.status = CallStatus::Done;
    // A string that is cleared, or gets a short one assigned, keeps its memory.
    record.answer = hasRoom(table, id.account, sizeOf(answer))
        ? std::move(answer)
        : StoredAnswer{answer.status, "", "", true};
    addStoredBytes(table, id.account, sizeOf(record.answer));
    return true;
}

StoredAnswer makeStoredAnswer(int status, std::string_view contentType, std::string_view body)
{
    if (contentType.size() + body.size() > MAX_STORED_ANSWER_BYTES)
        return {status, "", "", true};
    return {status, std::string(contentType), std::string(body), false};
}

std::vector<CallId> markOwnerLost(CallTable &table, const HostId &host, std::uint64_t run)
{
    std::vector<CallId> lost;
    for (auto &[id, record] : table.records) {
        if (record.status != CallStatus::Running || record.owner.host != host
            || record.owner.run != run)
            continue;
        record.status = CallStatus::Undetermined;
        lost.push_back(id);
    }
    return lost;
}

std::size_t expireCalls(CallTable &table, Duration clock)
{
    std::size_t removed = 0;
    for (auto it = table.records.begin(); it != table.records.end();) {
        const auto next = std::next(it);
        if (it->second.status != CallStatus::Running
            && clock - it->second.created >= CALL_RETENTION) {
            eraseRecord(table, it);
            ++removed;
        }
        it = next;
    }
    return removed;
}

} // namespace bilberry
