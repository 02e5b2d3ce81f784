/** @file settings.cpp Parses and validates the settings of a daemon. */
#include "config/settings_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <cmath>

namespace bilberry {

namespace {

constexpr int MAX_PORT = 65'535;
constexpr int MAX_VOTERS = 9;
constexpr std::int64_t MAX_BODY_BYTES = 1 << 30;
constexpr std::int64_t MAX_MEMORY_MB = 1 << 20;
constexpr std::int64_t MAX_DESCRIPTORS = 1 << 30;
constexpr std::int64_t MAX_ORDER_SEPARATION_MS = 600'000;
constexpr double MIN_INFRASTRUCTURE_RATE = 0.1; ///< In calls per second.
constexpr double MAX_INFRASTRUCTURE_RATE = 1e6; ///< In calls per second.
constexpr double MIN_USAGE_SECONDS = 0.1;
constexpr double MAX_USAGE_SECONDS = 86'400;
constexpr double MS_PER_SECOND = 1'000;

bool isIpAddress(const std::string &text)
{
    in_addr v4{};
    in6_addr v6{};
    return inet_pton(AF_INET, text.c_str(), &v4) == 1
        || inet_pton(AF_INET6, text.c_str(), &v6) == 1;
}

/** Reads an "IP:PORT" field. @return An empty endpoint if the field is missing or invalid. */
Endpoint readEndpoint(FieldReader &reader, const std::string &name, bool required)
{
    const std::string text = reader.readString(name, "", required);
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
    if (!isIpAddress(out.ip) || port < 0 || port > MAX_PORT) {
        reader.addProblem(name, "IP:PORT with a numeric IP address and a port from 0 to 65535");
        return {};
    }
    out.port = port;
    return out;
}

std::map<HostId, Endpoint> readControlHosts(FieldReader &reader, const std::string &file,
                                            std::vector<FieldProblem> &problems)
{
    std::map<HostId, Endpoint> out;
    const nlohmann::json &hosts = reader.readRaw("controlHosts");
    if (hosts.is_null())
        return out;
    FieldReader hostReader(hosts, file, "controlHosts", problems);
    if (!hosts.is_object())
        return out;
    for (const auto &[name, value] : hosts.items())
        out[HostId(name)] = readEndpoint(hostReader, name, true);
    return out;
}

/**
 * Reads the control seeds. A seed may be given by any of its listening addresses, so only the IP
 * address is used.
 * @param peersPort Port for other daemons, the same on all seeds.
 */
std::vector<Endpoint> readControlSeeds(FieldReader &reader, int peersPort)
{
    std::vector<Endpoint> out;
    for (const std::string &text : reader.readStringArray("controlSeeds", {})) {
        const std::string ip = text.substr(0, text.rfind(':'));
        if (isIpAddress(ip))
            out.push_back({ip, peersPort});
        else
            reader.addProblem("controlSeeds", "a list of IP or IP:PORT with numeric IP addresses");
    }
    return out;
}

EdgeKind readEdgeKind(FieldReader &reader)
{
    const std::string name = reader.readString("edge", "own");
    if (name != "own" && name != "platform")
        reader.addProblem("edge", "\"own\" or \"platform\"");
    return name == "platform" ? EdgeKind::Platform : EdgeKind::Native;
}

/** Reads a time in seconds, rounded to milliseconds. @return 0 if it is missing or invalid. */
Duration readUsageTime(FieldReader &reader, const std::string &name)
{
    const double seconds = reader.readNumber(name, 0, MIN_USAGE_SECONDS, MAX_USAGE_SECONDS);
    return std::chrono::milliseconds(std::llround(seconds * MS_PER_SECOND));
}

/** Reads the list of duties. @return Whether the field is present. */
bool readDuties(FieldReader &reader, Settings &settings)
{
    if (reader.readRaw("duties").is_null())
        return false;
    for (const std::string &duty : reader.readStringArray("duties", {})) {
        settings.reportsUsage = settings.reportsUsage || duty == "usage";
        settings.ordersTargets = settings.ordersTargets || duty == "autoscale";
        if (duty != "usage" && duty != "autoscale")
            reader.addProblem("duties", "a list of \"usage\" and \"autoscale\"");
    }
    return true;
}

/** Reads what the daemon does towards the infrastructure. Control members make the calls; hosts
 * that serve callers only need the length of a window. */
void readInfrastructure(FieldReader &reader, Settings &settings)
{
    settings.infrastructure = readEndpoint(reader, "infrastructure", false);
    settings.infrastructureCallsPerSecond
        = reader.readNumber("infrastructureCallsPerSecond", settings.infrastructureCallsPerSecond,
                            MIN_INFRASTRUCTURE_RATE, MAX_INFRASTRUCTURE_RATE);
    const bool listsDuties = readDuties(reader, settings);
    settings.usageWindow = readUsageTime(reader, "usageWindowSeconds");
    settings.usageDue = readUsageTime(reader, "usageDueSeconds");
    if (settings.usageDue == Duration::zero())
        settings.usageDue = 2 * settings.usageWindow;
    if (!listsDuties)
        settings.reportsUsage = settings.usageWindow > Duration::zero();
    if (settings.reportsUsage && settings.usageWindow == Duration::zero())
        reader.addProblem("usageWindowSeconds", "a number, as duties has \"usage\"");
    if (!settings.control || !listsDuties || !(settings.reportsUsage || settings.ordersTargets))
        return;
    if (settings.infrastructure.port == 0)
        reader.addProblem("infrastructure", "IP:PORT, as there are duties");
    // The native interface defines no calls to the infrastructure.
    if (settings.edge != EdgeKind::Platform)
        reader.addProblem("edge", "\"platform\", as there are duties");
}

} // namespace

std::vector<std::string> initialControlAddresses(const Settings &settings)
{
    std::vector<std::string> out;
    for (const auto &[host, endpoint] : settings.controlHosts)
        out.push_back(endpoint.text());
    for (const Endpoint &seed : settings.controlSeeds)
        out.push_back(seed.text());
    return out;
}

CheckedSettings parseSettings(const std::string &file, const std::string &content)
{
    CheckedSettings out;
    const nlohmann::json json = nlohmann::json::parse(content, nullptr, false, true);
    if (json.is_discarded()) {
        out.problems.push_back({file, "", "valid JSON"});
        return out;
    }
    FieldReader reader(json, file, "", out.problems);
    Settings &settings = out.settings;
    settings.host = HostId(reader.readString("host", "", true));
    settings.zone = ZoneId(reader.readString("zone", "", true));
    settings.entry = reader.readBoolean("entry", settings.entry);
    settings.control = reader.readBoolean("control", settings.control);
    settings.dataFolder = reader.readString("dataFolder", "", settings.control);
    settings.callers = readEndpoint(reader, "callers", settings.entry);
    settings.edge = readEdgeKind(reader);
    settings.targets
        = readEndpoint(reader, "targets", settings.entry && settings.edge == EdgeKind::Native);
    settings.readiness = readEndpoint(reader, "readiness", false);
    settings.operators = readEndpoint(reader, "operators", true);
    settings.peers = readEndpoint(reader, "peers", settings.control);
    settings.controlHosts = readControlHosts(reader, file, out.problems);
    settings.controlSeeds = readControlSeeds(reader, settings.peers.port);
    settings.foundsFromSeeds = reader.readBoolean("found", false);
    settings.voters = static_cast<int>(reader.readInteger("voters", 0, 0, MAX_VOTERS));
    settings.prefetch = reader.readBoolean("prefetch", false);
    settings.loadForecasts = reader.readBoolean("loadForecasts", false);
    settings.rateLeeway = reader.readNumber("rateLeeway", 0, 0, 1);
    settings.burstLeeway = reader.readNumber("burstLeeway", 0, 0, 1e9);
    settings.orderSeparation = std::chrono::milliseconds(
        reader.readInteger("orderSeparationMs", 3'000, 0, MAX_ORDER_SEPARATION_MS));
    settings.retryShare = reader.readNumber("retryShare", settings.retryShare, 0, 10);
    settings.retryBurst = reader.readNumber("retryBurst", settings.retryBurst, 0, 1e6);
    settings.freshnessLease
        = std::chrono::milliseconds(reader.readInteger("freshnessLeaseMs", 2'000, 100, 60'000));
    settings.maxBodyBytes = static_cast<std::size_t>(reader.readInteger(
        "maxBodyBytes", static_cast<std::int64_t>(settings.maxBodyBytes), 1024, MAX_BODY_BYTES));
    settings.maxWaiting = static_cast<std::size_t>(reader.readInteger(
        "maxWaiting", static_cast<std::int64_t>(settings.maxWaiting), 1, 1'000'000));
    settings.reportInterval
        = std::chrono::milliseconds(reader.readInteger("reportIntervalMs", 250, 20, 1'000));
    settings.grace = std::chrono::seconds(reader.readInteger("graceSeconds", 0, 0, 3'600));
    settings.drain = std::chrono::milliseconds(reader.readInteger("drainMs", 5'000, 0, 600'000));
    readInfrastructure(reader, settings);
    settings.logFile = reader.readString("logFile", "");
    settings.traceFile = reader.readString("traceFile", "");
    settings.memoryMb
        = static_cast<std::size_t>(reader.readInteger("memoryMb", 0, 0, MAX_MEMORY_MB));
    settings.maxDescriptors
        = static_cast<std::size_t>(reader.readInteger("maxDescriptors", 0, 0, MAX_DESCRIPTORS));
    reader.reportUnknownFields();
    if (settings.controlHosts.empty() && settings.controlSeeds.empty())
        reader.addProblem("controlHosts",
                          "an object of host: \"IP:PORT\" with at least one host, "
                          "unless controlSeeds has entries");
    return out;
}

} // namespace bilberry
