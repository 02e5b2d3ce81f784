/** @file generator.cpp Open-loop load over one libcurl multi loop. */
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
constexpr Duration RESEND_PAUSE = 300ms;

/** One request in flight. */
struct Sending
{
    ScheduledRequest request;
    RequestOutcome outcome;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string url;
    std::string body;
    TimePoint scheduled;
    std::size_t host = 0;
    bool streamedAnswer = false;
};

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &sending = *static_cast<Sending *>(self);
    if (sending.body.empty())
        sending.outcome.firstByte = MonotonicClock::now() - sending.scheduled;
    if (sending.body.size() + size * count > MAX_ANSWER_BYTES)
        return 0; // Counts as broken.
    sending.body.append(data, size * count);
    return size * count;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &sending = *static_cast<Sending *>(self);
    const std::string line(data, size * count);
    const std::string lower = absl::AsciiStrToLower(line);
    if (absl::StartsWith(lower, "x-execution:"))
        sending.outcome.execution = std::string(absl::StripAsciiWhitespace(line.substr(12)));
    if (absl::StartsWith(lower, "content-type: text/event-stream"))
        sending.streamedAnswer = true;
    return size * count;
}

/** A whole answer echoes what was asked, or ends with the stream's end marker. */
bool isWhole(const Sending &sending)
{
    if (sending.streamedAnswer)
        return sending.body.find("data: [DONE]") != std::string::npos;
    const nlohmann::json asked = nlohmann::json::parse(sending.request.body, nullptr, false);
    const nlohmann::json answer = nlohmann::json::parse(sending.body, nullptr, false);
    if (!answer.is_object() || !answer.contains("echo"))
        return false;
    if (asked.is_object() && asked.contains("prompt"))
        return answer["echo"] == asked["prompt"];
    return answer["echo"] == sending.request.body;
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
        while (this->next < this->schedule.size() || !this->open.empty()
               || !this->resends.empty()) {
            const TimePoint now = MonotonicClock::now();
            this->startDue(now);
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->collect();
            curl_multi_poll(this->multi, nullptr, 0, this->pauseMs(), nullptr);
        }
        return std::move(this->outcomes);
    }

private:
    int pauseMs() const
    {
        if (this->next >= this->schedule.size())
            return 10;
        const Duration left = this->start + this->schedule[this->next].at - MonotonicClock::now();
        return static_cast<int>(std::clamp<std::int64_t>(left.count() / 1'000, 0, 10));
    }

    void startDue(TimePoint now)
    {
        while (this->next < this->schedule.size()
               && this->start + this->schedule[this->next].at <= now) {
            const ScheduledRequest &request = this->schedule[this->next++];
            this->begin(request, this->start + request.at, this->next);
        }
        while (!this->resends.empty() && this->resends.front().first <= now) {
            auto [due, again] = std::move(this->resends.front());
            this->resends.erase(this->resends.begin());
            this->begin(again->request, again->scheduled, again->host + 1);
        }
    }

    void begin(const ScheduledRequest &request, TimePoint scheduled, std::size_t host)
    {
        auto sending = std::make_unique<Sending>();
        sending->request = request;
        sending->outcome.account = request.account;
        sending->outcome.at = request.at;
        sending->scheduled = scheduled;
        sending->host = host;
        if (static_cast<int>(this->open.size()) >= this->run.mostOpen) {
            sending->outcome.type = "not_sent";
            this->outcomes.push_back(sending->outcome);
            return;
        }
        this->prepare(*sending);
        curl_multi_add_handle(this->multi, sending->easy);
        CURL *easy = sending->easy;
        this->open[easy] = std::move(sending);
    }

    void prepare(Sending &sending)
    {
        const ScheduledRequest &request = sending.request;
        sending.easy = curl_easy_init();
        sending.url = absl::StrCat(
            "http://", this->run.hosts[sending.host % this->run.hosts.size()], request.path);
        const auto key = this->run.keys.find(request.account);
        const auto add = [&](const std::string &line) {
            sending.headers = curl_slist_append(sending.headers, line.c_str());
        };
        add("Content-Type: application/json");
        add("Expect:");
        if (key != this->run.keys.end())
            add("Authorization: Bearer " + key->second);
        if (!request.idempotencyKey.empty())
            add("Idempotency-Key: " + request.idempotencyKey);
        if (request.timeLimitMs > 0)
            add("X-Time-Limit-Ms: " + std::to_string(request.timeLimitMs));
        curl_easy_setopt(sending.easy, CURLOPT_URL, sending.url.c_str());
        curl_easy_setopt(sending.easy, CURLOPT_PROXY, "");
        curl_easy_setopt(sending.easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(sending.easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
        curl_easy_setopt(sending.easy, CURLOPT_TIMEOUT_MS, ANSWER_TIMEOUT_MS);
        curl_easy_setopt(sending.easy, CURLOPT_HTTPHEADER, sending.headers);
        curl_easy_setopt(sending.easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(request.body.size()));
        curl_easy_setopt(sending.easy, CURLOPT_POSTFIELDS, sending.request.body.c_str());
        curl_easy_setopt(sending.easy, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(sending.easy, CURLOPT_WRITEDATA, &sending);
        curl_easy_setopt(sending.easy, CURLOPT_HEADERFUNCTION, &onHeader);
        curl_easy_setopt(sending.easy, CURLOPT_HEADERDATA, &sending);
    }

    void collect()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            const CURLcode code = message->data.result;
            auto node = this->open.extract(message->easy_handle);
            this->conclude(std::move(node.mapped()), code);
        }
    }

    void conclude(std::unique_ptr<Sending> sending, CURLcode code)
    {
        long status = 0;
        curl_easy_getinfo(sending->easy, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(this->multi, sending->easy);
        curl_easy_cleanup(sending->easy);
        curl_slist_free_all(sending->headers);
        sending->headers = nullptr;
        RequestOutcome &outcome = sending->outcome;
        outcome.latency = MonotonicClock::now() - sending->scheduled;
        outcome.status = static_cast<int>(status);
        outcome.whole = code == CURLE_OK && status == 200 && isWhole(*sending);
        if (code != CURLE_OK)
            outcome.type = code == CURLE_COULDNT_CONNECT ? "no_connection" : "broken";
        else if (status != 200)
            outcome.type = this->typeOf(sending->body);
        const bool unconnected
            = code == CURLE_COULDNT_CONNECT && sending->host < this->next + this->run.hosts.size();
        if (unconnected) {
            // As a balancer would: nothing was sent, so another host gets it at once.
            this->begin(sending->request, sending->scheduled, sending->host + 1);
            return;
        }
        if (!outcome.whole && sending->request.resends > 0) {
            --sending->request.resends;
            this->resends.emplace_back(MonotonicClock::now() + RESEND_PAUSE, std::move(sending));
            return;
        }
        this->outcomes.push_back(outcome);
    }

    static std::string typeOf(const std::string &body)
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
    std::map<CURL *, std::unique_ptr<Sending>> open;
    std::vector<std::pair<TimePoint, std::unique_ptr<Sending>>> resends;
    std::vector<RequestOutcome> outcomes;
};

double percentile(std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[rank];
}

nlohmann::json summarizeSome(const std::vector<const RequestOutcome *> &outcomes)
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
    nlohmann::json out{{"all", summarizeSome(all)}};
    for (const auto &[account, some] : byAccount)
        out["accounts"][account] = summarizeSome(some);
    return out;
}

} // namespace bilberry
