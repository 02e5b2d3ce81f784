/** @file settings.cpp Reads and checks the settings of a daemon. */
#include "config/settings_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

namespace bilberry {

namespace {

constexpr int MAX_PORT = 65'535;
constexpr int MAX_VOTERS = 9;
constexpr std::int64_t MAX_BODY_BYTES = 1 << 30;
constexpr std::int64_t MAX_ORDER_SEPARATION_MS = 600'000;

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
    if (hosts.is_null())
        return out;
    FieldReader hostReader(hosts, file, "controlHosts", problems);
    if (!hosts.is_object())
        return out;
    for (const auto &[name, value] : hosts.items())
        out[HostId(name)] = readEndpoint(hostReader, name, true);
    return out;
}

/** Seeds are named by any of their addresses: only the IP number counts. */
std::vector<Endpoint> readSeeds(FieldReader &reader, int peersPort)
{
    std::vector<Endpoint> out;
    for (const std::string &text : reader.texts("controlSeeds", {})) {
        const std::string ip = text.substr(0, text.rfind(':'));
        if (isIpNumber(ip))
            out.push_back({ip, peersPort});
        else
            reader.problem("controlSeeds", "a list of IP or IP:PORT with IP numbers");
    }
    return out;
}

EdgeKind readEdge(FieldReader &reader)
{
    const std::string name = reader.text("edge", "own");
    if (name != "own" && name != "platform")
        reader.problem("edge", "\"own\" or \"platform\"");
    return name == "platform" ? EdgeKind::Platform : EdgeKind::Own;
}

} // namespace

std::vector<std::string> controlAddressesOf(const Settings &settings)
{
    std::vector<std::string> out;
    for (const auto &[host, endpoint] : settings.controlHosts)
        out.push_back(endpoint.text());
    for (const Endpoint &seed : settings.controlSeeds)
        out.push_back(seed.text());
    return out;
}

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
    settings.edge = readEdge(reader);
    settings.targets
        = readEndpoint(reader, "targets", settings.entry && settings.edge == EdgeKind::Own);
    settings.readiness = readEndpoint(reader, "readiness", false);
    settings.operators = readEndpoint(reader, "operators", true);
    settings.peers = readEndpoint(reader, "peers", settings.control);
    settings.controlHosts = readControlHosts(reader, file, out.problems);
    settings.controlSeeds = readSeeds(reader, settings.peers.port);
    settings.found = reader.boolean("found", false);
    settings.voters = static_cast<int>(reader.integer("voters", 0, 0, MAX_VOTERS));
    settings.prefetch = reader.boolean("prefetch", false);
    settings.rateLeeway = reader.number("rateLeeway", 0, 0, 1);
    settings.burstLeeway = reader.number("burstLeeway", 0, 0, 1e9);
    settings.orderSeparation = std::chrono::milliseconds(
        reader.integer("orderSeparationMs", 3'000, 0, MAX_ORDER_SEPARATION_MS));
    settings.retryShare = reader.number("retryShare", settings.retryShare, 0, 10);
    settings.retryBurst = reader.number("retryBurst", settings.retryBurst, 0, 1e6);
    settings.freshnessLease
        = std::chrono::milliseconds(reader.integer("freshnessLeaseMs", 2'000, 100, 60'000));
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
    if (settings.controlHosts.empty() && settings.controlSeeds.empty())
        reader.problem("controlHosts",
                       "an object of host: \"IP:PORT\" with at least one host, "
                       "unless controlSeeds names some");
    return out;
}

} // namespace bilberry
