/** @file settings.cpp Reads and checks the settings of a daemon. */
#include "config/settings_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

namespace bilberry {

namespace {

constexpr int MAX_PORT = 65'535;
constexpr std::int64_t MAX_BODY_BYTES = 1 << 30;

bool isIpNumber(const std::string &text)
{
    in_addr v4{};
    in6_addr v6{};
    return inet_pton(AF_INET, text.c_str(), &v4) == 1
        || inet_pton(AF_INET6, text.c_str(), &v6) == 1;
}

Endpoint readEndpoint(FieldReader &reader, const std::string &name, bool required)
{
    const std::string text = reader.text(name, "", required);
    if (text.empty())
        return {};
    const std::size_t colon = text.rfind(':');
    Endpoint out;
    int port = -1;
    if (colon != std::string::npos) {
        out.ip = text.substr(0, colon);
        if (!absl::SimpleAtoi(text.substr(colon + 1), &port))
            port = -1;
    }
    if (!isIpNumber(out.ip) || port < 0 || port > MAX_PORT) {
        reader.problem(name, "IP:PORT with an IP number");
        return {};
    }
    out.port = port;
    return out;
}

std::map<HostId, Endpoint> readControlHosts(FieldReader &reader, const std::string &file,
                                            std::vector<FieldProblem> &problems)
{
    std::map<HostId, Endpoint> out;
    const nlohmann::json &hosts = reader.raw("controlHosts");
    FieldReader hostReader(hosts, file, "controlHosts", problems);
    if (!hosts.is_object())
        return out;
    for (const auto &[name, value] : hosts.items())
        out[HostId(name)] = readEndpoint(hostReader, name, true);
    return out;
}

} // namespace

CheckedSettings checkSettings(const std::string &file, const std::string &content)
{
    CheckedSettings out;
    const nlohmann::json json = nlohmann::json::parse(content, nullptr, false, true);
    if (json.is_discarded()) {
        out.problems.push_back({file, "", "valid JSON"});
        return out;
    }
    FieldReader reader(json, file, "", out.problems);
    Settings &settings = out.settings;
    settings.host = HostId(reader.text("host", "", true));
    settings.zone = ZoneId(reader.text("zone", "", true));
    settings.entry = reader.boolean("entry", settings.entry);
    settings.control = reader.boolean("control", settings.control);
    settings.dataFolder = reader.text("dataFolder", "", settings.control);
    settings.callers = readEndpoint(reader, "callers", settings.entry);
    settings.targets = readEndpoint(reader, "targets", settings.entry);
    settings.operators = readEndpoint(reader, "operators", true);
    settings.peers = readEndpoint(reader, "peers", settings.control);
    settings.controlHosts = readControlHosts(reader, file, out.problems);
    settings.maxBodyBytes = static_cast<std::size_t>(reader.integer(
        "maxBodyBytes", static_cast<std::int64_t>(settings.maxBodyBytes), 1024, MAX_BODY_BYTES));
    settings.maxWaiting = static_cast<std::size_t>(
        reader.integer("maxWaiting", static_cast<std::int64_t>(settings.maxWaiting), 1, 1'000'000));
    settings.reportInterval
        = std::chrono::milliseconds(reader.integer("reportIntervalMs", 250, 20, 1'000));
    settings.drain = std::chrono::milliseconds(reader.integer("drainMs", 5'000, 0, 600'000));
    settings.logFile = reader.text("logFile", "");
    settings.traceFile = reader.text("traceFile", "");
    reader.finish();
    if (settings.controlHosts.empty())
        reader.problem("controlHosts", "an object of host: \"IP:PORT\" with at least one host");
    return out;
}

} // namespace bilberry
