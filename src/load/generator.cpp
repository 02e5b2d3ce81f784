/** @file generator.cpp Open-loop load generator on one libcurl multi handle. */
#include "load/generator_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <curl/curl.h>
#include <memory>
#include <random>

namespace bilberry {

namespace {

constexpr long CONNECT_TIMEOUT_MS = 500;
constexpr long ANSWER_TIMEOUT_MS = 70'000;
constexpr std::size_t MAX_ANSWER_BYTES = 64 << 20;
constexpr Duration RETRY_DELAY = 300ms;

/** One request in flight. */
struct InFlightRequest
{
    ScheduledRequest request;
    RequestOutcome outcome;
    CURL *handle = nullptr;
    curl_slist *headers = nullptr;
    std::string url;
    std::string body;
    TimePoint scheduled;
    std::size_t host = 0;
    bool streamedAnswer = false;
};

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &inFlight = *static_cast<InFlightRequest *>(self);
    if (inFlight.body.empty())
        inFlight.outcome.firstByte = MonotonicClock::now() - inFlight.scheduled;
    if (inFlight.body.size() + size * count > MAX_ANSWER_BYTES)
        return 0; // Makes libcurl abort the transfer, which counts as "broken".
    inFlight.body.append(data, size * count);
    return size * count;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &inFlight = *static_cast<InFlightRequest *>(self);
    const std::string line(data, size * count);
    const std::string lower = absl::AsciiStrToLower(line);
    if (absl::StartsWith(lower, "x-execution:"))
        inFlight.outcome.execution = std::string(absl::StripAsciiWhitespace(line.substr(12)));
    if (absl::StartsWith(lower, "content-type: text/event-stream"))
        inFlight.streamedAnswer = true;
    return size * count;
}

/**
 * Checks that an answer is complete and belongs to the request. A plain answer must echo the prompt
 * or the body of the request; a streamed answer must contain the end marker of the stream.
 */
bool isComplete(const InFlightRequest &inFlight)
{
    if (inFlight.streamedAnswer)
        return inFlight.body.find("data: [DONE]") != std::string::npos;
    const nlohmann::json asked = nlohmann::json::parse(inFlight.request.body, nullptr, false);
    const nlohmann::json answer = nlohmann::json::parse(inFlight.body, nullptr, false);
    if (!answer.is_object() || !answer.contains("echo"))
        return false;
    if (asked.is_object() && asked.contains("prompt"))
        return answer["echo"] == asked["prompt"];
    return answer["echo"] == inFlight.request.body;
}

/** Sends one schedule. */
class Sender
{
public:
    Sender(const std::vector<ScheduledRequest> &schedule, const LoadRun &run)
        : schedule(schedule)
        , run(run)
        , multi(curl_multi_init())
        , start(MonotonicClock::now())
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, 512L);
    }

    ~Sender() { curl_multi_cleanup(this->multi); }
    Sender(const Sender &) = delete;
    Sender &operator=(const Sender &) = delete;

    std::vector<RequestOutcome> perform()
    {
        while (this->next < this->schedule.size() || !this->openRequests.empty()
               || !this->resends.empty()) {
            const TimePoint now = MonotonicClock::now();
            this->sendDue(now);
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->collectFinished();
            curl_multi_poll(this->multi, nullptr, 0, this->pollTimeoutMs(), nullptr);
        }
        return std::move(this->outcomes);
    }

private:
    int pollTimeoutMs() const
    {
        if (this->next >= this->schedule.size())
            return 10;
        const Duration left = this->start + this->schedule[this->next].at - MonotonicClock::now();
        return static_cast<int>(std::clamp<std::int64_t>(left.count() / 1'000, 0, 10));
    }

    void sendDue(TimePoint now)
    {
        while (this->next < this->schedule.size()
               && this->start + this->schedule[this->next].at <= now) {
            const ScheduledRequest &request = this->schedule[this->next++];
            this->startRequest(request, this->start + request.at, this->next);
        }
        while (!this->resends.empty() && this->resends.front().first <= now) {
            auto [due, retry] = std::move(this->resends.front());
            this->resends.erase(this->resends.begin());
            this->startRequest(retry->request, retry->scheduled, retry->host + 1);
        }
    }

    void startRequest(const ScheduledRequest &request, TimePoint scheduled, std::size_t host)
    {
        auto inFlight = std::make_unique<InFlightRequest>();
        inFlight->request = request;
        inFlight->outcome.account = request.account;
        inFlight->outcome.at = request.at;
        inFlight->scheduled = scheduled;
        inFlight->host = host;
        if (static_cast<int>(this->openRequests.size()) >= this->run.maxInFlight) {
            inFlight->outcome.type = "not_sent";
            this->outcomes.push_back(inFlight->outcome);
            return;
        }
        this->prepare(*inFlight);
        curl_multi_add_handle(this->multi, inFlight->handle);
        CURL *handle = inFlight->handle;
        this->openRequests[handle] = std::move(inFlight);
    }

    void prepare(InFlightRequest &inFlight)
    {
        const ScheduledRequest &request = inFlight.request;
        inFlight.handle = curl_easy_init();
        inFlight.url = absl::StrCat(
            "http://", this->run.hosts[inFlight.host % this->run.hosts.size()], request.path);
        const auto key = this->run.keys.find(request.account);
        const auto add = [&](const std::string &line) {
            inFlight.headers = curl_slist_append(inFlight.headers, line.c_str());
        };
        add("Content-Type: application/json");
        add("Expect:");
        if (key != this->run.keys.end())
            add("Authorization: Bearer " + key->second);
        if (!request.idempotencyKey.empty())
            add("Idempotency-Key: " + request.idempotencyKey);
        if (request.timeLimitMs > 0)
            add("X-Time-Limit-Ms: " + std::to_string(request.timeLimitMs));
        curl_easy_setopt(inFlight.handle, CURLOPT_URL, inFlight.url.c_str());
        curl_easy_setopt(inFlight.handle, CURLOPT_PROXY, "");
        curl_easy_setopt(inFlight.handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(inFlight.handle, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
        curl_easy_setopt(inFlight.handle, CURLOPT_TIMEOUT_MS, ANSWER_TIMEOUT_MS);
        curl_easy_setopt(inFlight.handle, CURLOPT_HTTPHEADER, inFlight.headers);
        curl_easy_setopt(inFlight.handle, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(request.body.size()));
        curl_easy_setopt(inFlight.handle, CURLOPT_POSTFIELDS, inFlight.request.body.c_str());
        curl_easy_setopt(inFlight.handle, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(inFlight.handle, CURLOPT_WRITEDATA, &inFlight);
        curl_easy_setopt(inFlight.handle, CURLOPT_HEADERFUNCTION, &onHeader);
        curl_easy_setopt(inFlight.handle, CURLOPT_HEADERDATA, &inFlight);
    }

    void collectFinished()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            const CURLcode code = message->data.result;
            auto node = this->openRequests.extract(message->easy_handle);
            this->finish(std::move(node.mapped()), code);
        }
    }

    void finish(std::unique_ptr<InFlightRequest> inFlight, CURLcode code)
    {
        long status = 0;
        curl_easy_getinfo(inFlight->handle, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(this->multi, inFlight->handle);
        curl_easy_cleanup(inFlight->handle);
        curl_slist_free_all(inFlight->headers);
        inFlight->headers = nullptr;
        RequestOutcome &outcome = inFlight->outcome;
        outcome.latency = MonotonicClock::now() - inFlight->scheduled;
        outcome.status = static_cast<int>(status);
        outcome.whole = code == CURLE_OK && status == 200 && isComplete(*inFlight);
        if (code != CURLE_OK)
            outcome.type = code == CURLE_COULDNT_CONNECT ? "no_connection" : "broken";
        else if (status != 200)
            outcome.type = this->errorTypeOf(inFlight->body);
        const bool connectFailed
            = code == CURLE_COULDNT_CONNECT && inFlight->host < this->next + this->run.hosts.size();
        if (connectFailed) {
            // Nothing was sent, so the request goes to another host at once, as a load balancer
            // does.
            this->startRequest(inFlight->request, inFlight->scheduled, inFlight->host + 1);
            return;
        }
        if (!outcome.whole && inFlight->request.resends > 0) {
            --inFlight->request.resends;
            this->resends.emplace_back(MonotonicClock::now() + RETRY_DELAY, std::move(inFlight));
            return;
        }
        this->outcomes.push_back(outcome);
    }

    static std::string errorTypeOf(const std::string &body)
    {
        const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
        if (json.is_object() && json.contains("error") && json["error"].is_object())
            return json["error"].value("type", "untyped");
        return "untyped";
    }

    const std::vector<ScheduledRequest> &schedule;
    const LoadRun &run;
    CURLM *multi;
    TimePoint start;
    std::size_t next = 0;
    std::map<CURL *, std::unique_ptr<InFlightRequest>> openRequests;
    std::vector<std::pair<TimePoint, std::unique_ptr<InFlightRequest>>> resends;
    std::vector<RequestOutcome> outcomes;
};

double percentile(std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[rank];
}

nlohmann::json summarizeGroup(const std::vector<const RequestOutcome *> &outcomes)
{
    std::vector<double> latencies;
    std::vector<double> firstBytes;
    std::map<std::string, int> types;
    std::size_t whole = 0;
    std::size_t broken = 0;
    for (const RequestOutcome *outcome : outcomes) {
        whole += outcome->whole ? 1 : 0;
        if (outcome->whole) {
            latencies.push_back(toSeconds(outcome->latency) * 1'000);
            firstBytes.push_back(toSeconds(outcome->firstByte) * 1'000);
        } else {
            ++types[outcome->type.empty() ? "not_whole" : outcome->type];
            broken += outcome->status == 200 ? 1 : 0;
        }
    }
    std::sort(latencies.begin(), latencies.end());
    std::sort(firstBytes.begin(), firstBytes.end());
    return {{"sent", outcomes.size()},
            {"whole", whole},
            {"brokenOrForeign", broken},
            {"others", types},
            {"latencyMs",
             {{"p50", percentile(latencies, 0.5)},
              {"p95", percentile(latencies, 0.95)},
              {"p99", percentile(latencies, 0.99)},
              {"most", percentile(latencies, 1)}}},
            {"firstByteMs",
             {{"p50", percentile(firstBytes, 0.5)}, {"p99", percentile(firstBytes, 0.99)}}}};
}

} // namespace

std::vector<ScheduledRequest> makeSchedule(const std::vector<LoadProfile> &profiles,
                                           Duration length, unsigned seed)
{
    std::vector<ScheduledRequest> schedule;
    std::mt19937_64 random(seed);
    int number = 0;
    for (const LoadProfile &profile : profiles) {
        std::exponential_distribution<double> gap(profile.perSecond);
        const double end = std::min(profile.toSecond, toSeconds(length));
        for (double at = profile.fromSecond + gap(random); at < end; at += gap(random)) {
            ScheduledRequest request;
            request.at = fromSeconds(at);
            request.account = profile.account;
            request.path = profile.path;
            request.streamed = profile.streamed;
            request.timeLimitMs = profile.timeLimitMs;
            const std::string id = absl::StrCat("r", seed, "-", ++number);
            nlohmann::json body{{"prompt", id}};
            if (!profile.model.empty()) {
                body["model"] = profile.model;
                body["max_tokens"] = profile.tokens;
                body["stream"] = profile.streamed;
            }
            request.body
                = profile.model.empty() ? absl::StrCat("{\"call\":\"", id, "\"}") : body.dump();
            if (profile.idempotent) {
                request.idempotencyKey = id;
                request.resends = 6;
            }
            schedule.push_back(std::move(request));
        }
    }
    std::stable_sort(schedule.begin(), schedule.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    return schedule;
}

std::vector<RequestOutcome> sendSchedule(const std::vector<ScheduledRequest> &schedule,
                                         const LoadRun &run)
{
    Sender sender(schedule, run);
    return sender.perform();
}

nlohmann::json summarize(const std::vector<RequestOutcome> &outcomes)
{
    std::vector<const RequestOutcome *> all;
    std::map<std::string, std::vector<const RequestOutcome *>> byAccount;
    for (const RequestOutcome &outcome : outcomes) {
        all.push_back(&outcome);
        byAccount[outcome.account].push_back(&outcome);
    }
    nlohmann::json out{{"all", summarizeGroup(all)}};
    for (const auto &[account, group] : byAccount)
        out["accounts"][account] = summarizeGroup(group);
    return out;
}

} // namespace bilberry
