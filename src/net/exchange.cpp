/** @file exchange.cpp One caller's request and answer. */
#include "net/exchange_base.h"

#include <nlohmann/json.hpp>

namespace bilberry {

void Exchange::wakeLocked()
{
    std::function<void()> callback = std::move(this->wake);
    this->wake = nullptr;
    if (callback)
        callback();
}

bool Exchange::begin(int status, std::string contentType,
                     std::vector<std::pair<std::string, std::string>> headers, std::string body,
                     bool streamed)
{
    absl::MutexLock lock(&this->mutex);
    if (this->begun || this->closed)
        return false;
    this->begun = true;
    this->streamed = streamed;
    this->ended = !streamed;
    this->status = status;
    this->contentType = std::move(contentType);
    this->headers = std::move(headers);
    this->buffer = std::move(body);
    this->wakeLocked();
    return true;
}

bool Exchange::append(std::string_view bytes)
{
    absl::MutexLock lock(&this->mutex);
    if (this->closed || this->ended)
        return false;
    if (this->buffer.size() + bytes.size() > MAX_BUFFERED_BYTES && !this->buffer.empty())
        return false;
    this->buffer.append(bytes);
    this->wakeLocked();
    return true;
}

void Exchange::end(bool broken)
{
    absl::MutexLock lock(&this->mutex);
    if (this->ended)
        return;
    this->ended = true;
    this->broken = broken;
    this->wakeLocked();
}

void Exchange::close()
{
    std::function<void()> callback;
    {
        absl::MutexLock lock(&this->mutex);
        this->closed = true;
        this->buffer.clear();
        callback = std::move(this->drained);
        this->drained = nullptr;
    }
    if (callback)
        callback();
}

std::shared_ptr<Exchange> ExchangeTable::add(RequestId id)
{
    auto exchange = std::make_shared<Exchange>(id);
    absl::MutexLock lock(&this->mutex);
    this->exchanges[id] = exchange;
    return exchange;
}

std::shared_ptr<Exchange> ExchangeTable::find(RequestId id) const
{
    absl::MutexLock lock(&this->mutex);
    const auto it = this->exchanges.find(id);
    return it == this->exchanges.end() ? nullptr : it->second;
}

void ExchangeTable::remove(RequestId id)
{
    absl::MutexLock lock(&this->mutex);
    this->exchanges.erase(id);
}

std::size_t ExchangeTable::size() const
{
    absl::MutexLock lock(&this->mutex);
    return this->exchanges.size();
}

void answerRefusal(Exchange &exchange, const RefuseCaller &refusal)
{
    const RefusalFace &face = faceOf(refusal.code);
    const std::string execution = nlohmann::json(refusal.execution).get<std::string>();
    const nlohmann::json error{
        {"error", {{"type", face.type}, {"message", face.message}, {"execution", execution}}}};
    std::vector<std::pair<std::string, std::string>> headers{{"X-Execution", execution}};
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
        headers.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1)));
    }
    if (exchange.begin(face.status, "application/json", std::move(headers), error.dump(), false))
        return;
    // The stream has begun: an error event and no end marker.
    exchange.append("event: error\ndata: " + error.dump() + "\n\n");
    exchange.end(true);
}

} // namespace bilberry
