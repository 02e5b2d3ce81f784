/** @file main.cpp Load generator: bilberryload. */
#include "load/generator_func.h"

#include <boost/program_options.hpp>
#include <curl/curl.h>
#include <fstream>
#include <iostream>

namespace bilberry {

namespace {

constexpr int EXIT_USAGE = 2;

/**
 * Sends the load of a plan and prints the summary.
 * @param plan {"hosts", "keys"} with either "schedule" or {"profiles", "seconds", "seed"}.
 * @param outcomesFile File for one JSON line per request; empty: none.
 * @return Exit code.
 */
int run(const nlohmann::json &plan, const std::string &outcomesFile)
{
    LoadRun load;
    load.hosts = plan.at("hosts").get<std::vector<std::string>>();
    load.keys = plan.value("keys", std::map<std::string, std::string>());
    std::vector<ScheduledRequest> schedule;
    if (plan.contains("schedule"))
        schedule = plan["schedule"].get<std::vector<ScheduledRequest>>();
    else
        schedule
            = makeSchedule(plan.at("profiles").get<std::vector<LoadProfile>>(),
                           fromSeconds(plan.at("seconds").get<double>()), plan.value("seed", 1U));
    const std::vector<RequestOutcome> outcomes = sendSchedule(schedule, load);
    if (!outcomesFile.empty()) {
        std::ofstream out(outcomesFile);
        for (const RequestOutcome &outcome : outcomes)
            out << nlohmann::json(outcome).dump() << "\n";
    }
    std::cout << summarize(outcomes).dump(2) << "\n";
    return 0;
}

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    std::string file;
    std::string outcomes;
    po::options_description options("bilberryload: sends a schedule as open-loop load");
    options.add_options()("help", "print this help")("plan", po::value(&file)->required(),
                                                     "JSON file with the plan")(
        "outcomes", po::value(&outcomes), "file for one JSON line per request");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") > 0) {
            std::cout << options;
            return 0;
        }
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << "bilberryload: " << error.what() << "\n" << options;
        return EXIT_USAGE;
    }
    std::ifstream in(file);
    const nlohmann::json plan = nlohmann::json::parse(in, nullptr, false);
    curl_global_init(CURL_GLOBAL_ALL);
    try {
        return run(plan, outcomes);
    } catch (const nlohmann::json::exception &error) {
        std::cerr << "bilberryload: " << file << ": " << error.what() << "\n";
        return EXIT_USAGE;
    }
}

} // namespace

} // namespace bilberry

int main(int argc, char **argv)
{
    return bilberry::main(argc, argv);
}
