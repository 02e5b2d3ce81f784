/** @file client.cpp HTTP client of the command-line tools for a daemon's operator port. */
#include "ctl/client_func.h"

#include <curl/curl.h>
#include <thread>

namespace bilberry {

namespace {

constexpr long TIMEOUT_MS = 10'000;
constexpr long CONNECT_TIMEOUT_MS = 1'000;
constexpr std::size_t MAX_ANSWER_BYTES = 256 << 20; ///< State dumps of a daemon can be large.
constexpr Duration RETRY_PAUSE = 100ms;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *out)
{
    auto &answer = *static_cast<std::string *>(out);
    if (answer.size() + size * count > MAX_ANSWER_BYTES)
        return 0; // Makes libcurl abort the transfer.
    answer.append(data, size * count);
    return size * count;
}

Result<std::string> perform(const std::string &url, const std::string *body, int &status)
{
    std::string answer;
    CURL *handle = curl_easy_init();
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer);
    if (body != nullptr) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body->size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body->c_str());
    }
    const CURLcode code = curl_easy_perform(handle);
    long http = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &http);
    curl_easy_cleanup(handle);
    status = static_cast<int>(http);
    if (code != CURLE_OK)
        return Errc::PeerUnreachable;
    return answer;
}

} // namespace

Result<std::string> httpGet(const std::string &address, const std::string &path, int &status)
{
    return perform("http://" + address + path, nullptr, status);
}

Result<std::string> httpPost(const std::string &address, const std::string &path,
                             const std::string &body, int &status)
{
    return perform("http://" + address + path, &body, status);
}

LeaderAnswer sendToLeader(const std::vector<std::string> &addresses, const OperatorBody &body,
                          bool dryRun, Duration timeout)
{
    const std::string request = nlohmann::json{{"body", body}, {"dryRun", dryRun}}.dump();
    const TimePoint end = MonotonicClock::now() + timeout;
    LeaderAnswer out;
    out.error = Errc::PeerUnreachable;
    for (std::size_t i = 0; MonotonicClock::now() < end; ++i) {
        int status = 0;
        const Result<std::string> answer
            = httpPost(addresses[i % addresses.size()], "/operator", request, status);
        if (answer && status == 200) {
            const nlohmann::json json = nlohmann::json::parse(answer.value(), nullptr, false);
            out.error = json.value("code", Errc::Malformed);
            out.body = json.value("body", nlohmann::json());
            if (out.error != Errc::Timeout && out.error != Errc::NotLeader)
                return out;
        }
        std::this_thread::sleep_for(RETRY_PAUSE);
    }
    return out;
}

} // namespace bilberry
