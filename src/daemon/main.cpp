/** @file main.cpp Entry point of the daemon bilberrybendd. */
#include "config/settings_func.h"
#include "core/log_func.h"
#include "daemon/control_runner_base.h"
#include "daemon/host_runner_base.h"
#include "daemon/operators_port_func.h"
#include "net/http_server_base.h"
#include "net/native_edge_func.h"
#include "platform/edge_func.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <curl/curl.h>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <random>
#include <sstream>

namespace bilberry {

namespace {

constexpr int EXIT_SETTINGS = 2; ///< Exit status for invalid options or settings.
constexpr int EXIT_START = 3; ///< Exit status if a part of the daemon cannot start.
/** Allocations from this size on are returned to the system when they are freed. glibc raises its
 * own threshold with the sizes that are freed, and the bodies of requests then leave gaps in the
 * heap. */
constexpr int MMAP_THRESHOLD_BYTES = 128 << 10;
constexpr Duration RELOAD_INTERVAL = 2s; ///< Interval of checks for a changed settings file.

std::optional<std::string> readFile(const std::string &file)
{
    std::ifstream in(file);
    if (!in)
        return std::nullopt;
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

/** @return The settings in @p file; empty after the problems were written to standard error. */
std::optional<Settings> readSettings(const std::string &file)
{
    const std::optional<std::string> content = readFile(file);
    if (!content) {
        std::cerr << file << ": cannot be read\n";
        return std::nullopt;
    }
    CheckedSettings checked = parseSettings(file, *content);
    for (const FieldProblem &problem : checked.problems)
        std::cerr << problem.file << ": " << problem.field << ": expected " << problem.expected
                  << "\n";
    if (!checked.problems.empty())
        return std::nullopt;
    return checked.settings;
}

/**
 * Reloads the settings file while the daemon runs. Only changed addresses of control hosts take
 * effect; all other settings need a restart.
 */
class SettingsReloader
{
public:
    explicit SettingsReloader(std::string file)
        : file(std::move(file))
        , content(readFile(this->file).value_or(""))
    {
    }

    /**
     * Reads the file and passes the addresses of the control hosts to @p host.
     * @param requested Whether a signal requested the reload; otherwise an unchanged file is
     * ignored.
     */
    void reload(HostRunner &host, bool requested)
    {
        std::optional<std::string> next = readFile(this->file);
        if (!next || (*next == this->content && !requested))
            return;
        const CheckedSettings checked = parseSettings(this->file, *next);
        this->content = std::move(*next);
        if (!checked.problems.empty()) {
            const FieldProblem &first = checked.problems.front();
            logEvent("reloadRefused", {{"field", first.field}, {"expected", first.expected}});
            return;
        }
        host.setSeeds(initialControlAddresses(checked.settings));
        logEvent("reloaded", {{"controlHosts", initialControlAddresses(checked.settings)}});
    }

private:
    std::string file;
    std::string content;
};

/**
 * Creates the data folder of a seed that founds the control group together with the other seeds.
 * The member ids are derived from the seeds' addresses, so all seeds derive the same initial
 * membership.
 */
Result<void> createFounderFolder(const Settings &settings)
{
    Membership founders;
    for (const Endpoint &seed : settings.controlSeeds) {
        const MemberId member(seed.text() + "#founder");
        founders.voters.insert(member);
        founders.addresses[member] = seed.text();
    }
    return Journal::create(settings.dataFolder, MemberId(settings.peers.text() + "#founder"),
                           founders);
}

bool isSeed(const Settings &settings)
{
    return std::count(settings.controlSeeds.begin(), settings.controlSeeds.end(), settings.peers)
        > 0;
}

/**
 * Creates the data folder if necessary. The member ids of founders are derived from the settings,
 * so that all founders derive the same initial membership. Any other new member gets an id with a
 * random suffix, which distinguishes it from earlier members on the same host.
 * @param foundsGroup Whether this daemon founds a new control group with the other control hosts.
 * @return Errc::AlreadyExists if @p foundsGroup is set and the folder has an identity,
 * Errc::FileUnwritable.
 */
Result<void> prepareDataFolder(const Settings &settings, bool foundsGroup)
{
    if (settings.foundsFromSeeds && isSeed(settings) && !Journal::exists(settings.dataFolder))
        return createFounderFolder(settings);
    if (foundsGroup) {
        Membership founders;
        for (const auto &[host, endpoint] : settings.controlHosts) {
            const MemberId member(host.value + "#founder");
            founders.voters.insert(member);
            founders.addresses[member] = endpoint.text();
        }
        return Journal::create(settings.dataFolder, MemberId(settings.host.value + "#founder"),
                               founders);
    }
    if (Journal::exists(settings.dataFolder))
        return boost::outcome_v2::success();
    std::random_device device;
    const std::string suffix = absl::StrCat(absl::Hex(device(), absl::kZeroPad8));
    return Journal::create(settings.dataFolder, MemberId(settings.host.value + "#" + suffix), {});
}

/**
 * Handles signals until a graceful shutdown is complete: SIGTERM and SIGINT begin the shutdown,
 * SIGHUP reloads the settings, SIGUSR1 dumps the host's state to standard error.
 */
void waitForShutdown(const DaemonRoles &roles, SettingsReloader &reloader)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGUSR1);
    sigaddset(&signals, SIGHUP);
    bool leaving = false;
    TimePoint reloadDue = MonotonicClock::now() + RELOAD_INTERVAL;
    const timespec interval{0, 20'000'000};
    while (!leaving || !roles.host->drained()) {
        const int signal = sigtimedwait(&signals, nullptr, &interval);
        const TimePoint now = MonotonicClock::now();
        if (signal == SIGHUP || now >= reloadDue) {
            reloadDue = now + RELOAD_INTERVAL;
            reloader.reload(*roles.host, signal == SIGHUP);
        }
        if (signal == SIGHUP)
            continue;
        if (signal == SIGUSR1) {
            std::cerr << nlohmann::json{{"dump", roles.host->dumpState()}}.dump() << std::endl;
        } else if (signal > 0) {
            if (leaving && signal == SIGINT)
                return; // SIGINT during the shutdown ends the daemon at once.
            leaving = true;
            logEvent("leaving");
            roles.host->beginShutdown();
            if (roles.control != nullptr)
                roles.control->post(ControlShutdownEvent{});
        }
    }
}

/** Reports that @p what cannot start. @return Exit status of the process. */
int reportStartFailure(const std::string &what, std::error_code error)
{
    std::cerr << "bilberrybendd: " << what << ": " << error.message() << std::endl;
    return EXIT_START;
}

int run(const std::string &file, const Settings &settings, bool foundsGroup)
{
    sigset_t signals;
    sigfillset(&signals);
    sigdelset(&signals, SIGSEGV);
    sigdelset(&signals, SIGABRT);
    sigdelset(&signals, SIGBUS);
    sigdelset(&signals, SIGFPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
    curl_global_init(CURL_GLOBAL_ALL);
    openLog(settings.logFile, settings.host.value);
    if (settings.control) {
        const Result<void> prepared = prepareDataFolder(settings, foundsGroup);
        if (!prepared)
            return reportStartFailure(settings.dataFolder, prepared.error());
    }
    std::unique_ptr<ControlRunner> control;
    ControlRunner **controlSlot = new ControlRunner *(nullptr);
    const Edge &edge = settings.edge == EdgeKind::Platform ? platformEdge() : nativeEdge();
    Result<std::unique_ptr<HostRunner>> host
        = HostRunner::start(settings, edge, [controlSlot](ControlEvent &&event) {
              if (*controlSlot != nullptr)
                  (*controlSlot)->post(std::move(event));
          });
    if (!host)
        return reportStartFailure("callers " + settings.callers.text(), host.error());
    if (settings.control) {
        HostRunner *sender = host.value().get();
        Result<std::unique_ptr<ControlRunner>> started = ControlRunner::start(
            settings,
            {[sender](SendOrder order) { return sender->sendOrder(std::move(order)); },
             [sender](InspectTarget item) { return sender->inspect(std::move(item)); },
             [sender](DutyCall call) { return sender->callInfrastructure(std::move(call)); }});
        if (!started)
            return reportStartFailure("control role", started.error());
        control = std::move(started).value();
        *controlSlot = control.get();
        sender->post(ControlMemberIdentified{{control->member().value, settings.peers.text()}});
    }
    const DaemonRoles roles{host.value().get(), control.get()};
    const std::shared_ptr<RequestMemory> &bodies = roles.host->requestMemory();
    const auto operators = HttpServer::start(
        settings.operators, [roles](const HttpRequest &r) { return answerOperator(roles, r); },
        bodies);
    if (!operators)
        return reportStartFailure("operators " + settings.operators.text(), operators.error());
    Result<std::unique_ptr<HttpServer>> targets = std::unique_ptr<HttpServer>();
    if (!settings.targets.ip.empty())
        targets = HttpServer::start(
            settings.targets,
            [roles, &edge](const HttpRequest &r) { return edge.answerTarget(roles, r); }, bodies);
    if (!targets)
        return reportStartFailure("targets " + settings.targets.text(), targets.error());
    Result<std::unique_ptr<HttpServer>> readiness = std::unique_ptr<HttpServer>();
    if (!settings.readiness.ip.empty())
        readiness = HttpServer::start(
            settings.readiness,
            [roles, &edge](const HttpRequest &r) { return edge.answerReadiness(roles, r); },
            bodies);
    if (!readiness)
        return reportStartFailure("readiness " + settings.readiness.text(), readiness.error());
    logEvent("started",
             {{"callers", roles.host->callersPort()}, {"operators", operators.value()->port()}});
    SettingsReloader reloader(file);
    waitForShutdown(roles, reloader);
    logEvent("stopped");
    closeLog();
    // Skips the destructors, because library threads may still run callbacks into the objects. The
    // log is closed, and the rest of the state needs no saving.
    std::cerr.flush();
    _exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::string file;
    options::options_description description("bilberrybendd: the daemon of bilberrybend");
    description.add_options()("help", "this text")("settings", options::value(&file)->required(),
                                                   "path of the settings file (JSON)")(
        "check", "check the settings and exit")(
        "found", "create the data folder of a founding member of a new control group");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << "bilberrybendd: " << error.what() << "\n" << description;
        return EXIT_SETTINGS;
    }
    const std::optional<Settings> settings = readSettings(file);
    if (!settings)
        return EXIT_SETTINGS;
    if (values.count("check") > 0)
        return 0;
    return run(file, *settings, values.count("found") > 0);
}

} // namespace bilberry

int main(int argc, char **argv)
{
    return bilberry::main(argc, argv);
}
