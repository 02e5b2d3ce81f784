/** @file caller_parse.cpp Parses a caller's HTTP request of the native interface into an event. */
#include "net/native_edge_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace bilberry {

namespace {

/** Hashed part of the prompt; requests with the same prefix can share a target's cache. */
constexpr std::size_t PREFIX_HASH_BYTES = 256;
constexpr std::size_t MAX_IDEMPOTENCY_KEY_BYTES = 256;
constexpr const char *PROMPT_PARTS_HEADER = "X-Prompt-Parts";
constexpr std::int64_t MAX_TIME_LIMIT_MS = 3'600'000;
constexpr std::int64_t MAX_TOKENS = 1'000'000; ///< Larger token limits are reduced to this.

/**
 * Sets the event's key id and the digest of its secret.
 * @return The secret in plain text; empty if there is no bearer token.
 */
std::string readKey(const std::string &authorization, CallerRequest &event)
{
    const std::string scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return "";
    const std::string presented = authorization.substr(scheme.size());
    const std::size_t dot = presented.find('.');
    std::string secret = dot == std::string::npos ? presented : presented.substr(dot + 1);
    event.key = PresentedKey{KeyId(presented.substr(0, dot)), digestOf({secret})};
    return secret;
}

bool isModelPath(const std::string &path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

/** @return Hash of the first PREFIX_HASH_BYTES bytes of the prompt; 0 if the prompt is shorter. */
std::uint64_t prefixHash(const nlohmann::json &body)
{
    const auto text = [](const nlohmann::json &value) {
        return value.is_string() ? value.get<std::string>() : value.dump();
    };
    std::string prompt;
    if (body.contains("messages"))
        prompt = text(body["messages"]);
    else if (body.contains("prompt"))
        prompt = text(body["prompt"]);
    if (prompt.size() < PREFIX_HASH_BYTES)
        return 0;
    const std::string hex = digestOf({prompt.substr(0, PREFIX_HASH_BYTES)}).value.substr(0, 15);
    return std::stoull(hex, nullptr, 16);
}

/**
 * Reads the caller's names of the parts of the prompt that other requests share, separated by
 * commas. The key's id makes the names of different callers differ.
 */
void readPromptParts(const HeaderList &headers, CallerRequest &event)
{
    const std::string value = headerValue(headers, PROMPT_PARTS_HEADER);
    const std::string owner = event.key ? event.key->id.value : "";
    for (const absl::string_view item : absl::StrSplit(value, ',', absl::SkipWhitespace())) {
        const absl::string_view name
            = absl::StripAsciiWhitespace(item).substr(0, MAX_PROMPT_PART_BYTES);
        if (event.promptParts.size() < MAX_PROMPT_PARTS)
            event.promptParts.emplace_back(absl::StrCat(owner, "/", name));
    }
}

/** Parses "model" or "model:adapter". */
Variant variantOf(const std::string &name)
{
    const std::size_t colon = name.find(':');
    if (colon == std::string::npos)
        return {ModelId(name), {}};
    return {ModelId(name.substr(0, colon)), AdapterId(name.substr(colon + 1))};
}

/**
 * Reads variant, streaming and token limit from the JSON body.
 * @return False if the body is malformed.
 */
bool readModelBody(ParsedRequest &out)
{
    const nlohmann::json body = nlohmann::json::parse(out.forwarded.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string())
        return false;
    out.event.variant = variantOf(body["model"].get<std::string>());
    const auto stream = body.find("stream");
    if (stream != body.end()) {
        if (!stream->is_boolean())
            return false;
        out.event.streamed = stream->get<bool>();
    }
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        const auto limit = body.find(name);
        if (limit == body.end())
            continue;
        if (!limit->is_number_integer() || limit->get<std::int64_t>() < 1)
            return false;
        out.event.maxTokens = std::min(limit->get<std::int64_t>(), MAX_TOKENS);
    }
    out.event.prefix = prefixHash(body);
    return true;
}

/** @param text Time limit in ms; empty: no limit. @return False if @p text is malformed. */
bool readTimeLimit(const std::string &text, CallerRequest &event)
{
    if (text.empty())
        return true;
    std::int64_t ms = 0;
    if (!absl::SimpleAtoi(text, &ms) || ms < 1)
        return false;
    event.timeLimit = std::chrono::milliseconds(std::min(ms, MAX_TIME_LIMIT_MS));
    return true;
}

/**
 * Refuses a request that was created longer ago than call records are kept: if it is a resend, its
 * record may have expired, and it would be executed again as a new call.
 * @param created Unix seconds.
 */
std::optional<RefusalCode> checkAge(const std::string &created, std::int64_t unixSeconds)
{
    if (created.empty())
        return std::nullopt;
    std::int64_t createdSeconds = 0;
    if (!absl::SimpleAtoi(created, &createdSeconds))
        return RefusalCode::Malformed;
    const auto retentionSeconds
        = std::chrono::duration_cast<std::chrono::seconds>(CALL_RETENTION).count();
    constexpr std::int64_t CLOCK_SKEW_SECONDS = 600; // Tolerated error of the caller's clock.
    if (createdSeconds < unixSeconds - retentionSeconds + CLOCK_SKEW_SECONDS)
        return RefusalCode::CallTooOld;
    return std::nullopt;
}

} // namespace

ParsedRequest parseCallerRequest(RequestId id, RawRequest raw, std::int64_t unixSeconds)
{
    ParsedRequest out;
    out.event.request = id;
    out.event.path = raw.target.substr(0, raw.target.find('?'));
    const std::string secret = readKey(headerValue(raw.headers, "Authorization"), out.event);
    const std::string idempotencyKey = headerValue(raw.headers, "Idempotency-Key");
    out.forwarded.method = raw.method;
    out.forwarded.path = raw.target;
    for (const char *name : {"Content-Type", "Accept"}) {
        std::string value = headerValue(raw.headers, name);
        if (!value.empty())
            out.forwarded.headers.emplace_back(name, std::move(value));
    }
    out.forwarded.body = std::move(raw.body);
    const auto leaks = [&](const std::string &text) {
        return !secret.empty() && text.find(secret) != std::string::npos;
    };
    bool leaked = leaks(out.forwarded.body) || leaks(out.forwarded.path) || leaks(idempotencyKey);
    for (const auto &[name, value] : out.forwarded.headers)
        leaked = leaked || leaks(value);
    if (leaked) {
        out.refusal = RefusalCode::KeyInBody;
        return out;
    }
    readPromptParts(raw.headers, out.event);
    out.refusal = checkAge(headerValue(raw.headers, "Idempotency-Created"), unixSeconds);
    const bool wellFormed = readTimeLimit(headerValue(raw.headers, "X-Time-Limit-Ms"), out.event)
        && idempotencyKey.size() <= MAX_IDEMPOTENCY_KEY_BYTES
        && (!isModelPath(out.event.path) || (raw.method == "POST" && readModelBody(out)));
    if (!wellFormed)
        out.refusal = RefusalCode::Malformed;
    if (out.refusal)
        return out;
    out.event.idempotencyKey = idempotencyKey;
    out.event.body = digestOf({raw.method, out.forwarded.path, out.forwarded.body});
    out.forwarded.streamed = out.event.streamed;
    return out;
}

} // namespace bilberry
