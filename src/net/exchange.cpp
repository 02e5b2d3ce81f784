/** @file exchange.cpp Request of a caller and its answer. */
#include "net/exchange_base.h"

#include "net/edge_type.h"

#include <absl/strings/match.h>

namespace bilberry {

namespace {

/** Of a colon, a blank and the end of a line. */
constexpr std::size_t FIELD_SEPARATORS_BYTES = 4;

std::size_t sizeOfFields(const HeaderList &fields)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : fields)
        bytes += name.size() + value.size() + FIELD_SEPARATORS_BYTES;
    return bytes;
}

} // namespace

bool Exchange::hasBegun()
{
    absl::MutexLock lock(&this->mutex);
    return this->begun;
}

bool Exchange::hasEnded()
{
    absl::MutexLock lock(&this->mutex);
    return this->ended;
}

void Exchange::countHeld()
{
    this->held.set(this->headBytes + this->buffer.size());
}

void Exchange::resumeCallerLocked()
{
    std::function<void()> callback = std::move(this->resumeCaller);
    this->resumeCaller = nullptr;
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
    this->headBytes = sizeOfFields(this->headers) + this->contentType.size();
    this->buffer = std::move(body);
    this->countHeld();
    this->resumeCallerLocked();
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
    this->countHeld();
    this->resumeCallerLocked();
    return true;
}

void Exchange::end(bool broken, std::string_view rest)
{
    absl::MutexLock lock(&this->mutex);
    if (this->ended)
        return;
    if (!this->closed) {
        this->buffer.append(rest);
        this->countHeld();
    }
    this->ended = true;
    this->broken = broken;
    this->resumeCallerLocked();
}

void Exchange::close()
{
    std::function<void()> callback;
    {
        absl::MutexLock lock(&this->mutex);
        this->closed = true;
        std::string().swap(this->buffer);
        this->held.set(0);
        callback = std::move(this->onBufferSpace);
        this->onBufferSpace = nullptr;
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

void answerRefusal(Exchange &exchange, const RefuseCaller &refusal, const Edge &edge)
{
    EncodedAnswer answer = edge.encodeRefusal(refusal, exchange.forwarded.correlation);
    if (exchange.begin(answer.status, std::move(answer.contentType), std::move(answer.headers),
                       std::move(answer.body), false))
        return;
    exchange.end(true, edge.encodeStreamError(refusal));
}

bool equalHeaderNames(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                  absl::string_view(b.data(), b.size()));
}

std::string headerValue(const HeaderList &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (equalHeaderNames(key, name))
            return value;
    }
    return "";
}

std::vector<std::string_view> headerValues(const HeaderList &headers, std::string_view name)
{
    std::vector<std::string_view> values;
    for (const auto &[key, value] : headers) {
        if (equalHeaderNames(key, name))
            values.emplace_back(value);
    }
    return values;
}

} // namespace bilberry
