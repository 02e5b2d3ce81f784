/** @file settings_test.cpp Settings for the infrastructure's interface, and their templates. */
#include "config/settings_func.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <fstream>
#include <map>
#include <sstream>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

using Values = std::map<std::string, std::vector<std::string>>;

const Values CALM{{"dataDir", {"/d"}},
                  {"listen.control", {"10.0.0.1:1"}},
                  {"listen.front", {"10.0.0.1:2"}},
                  {"listen.ready", {"10.0.0.1:3"}},
                  {"bootstrap", {"true"}},
                  {"bounds.leaseMs", {"3000"}},
                  {"bounds.quotaOver", {"0.05"}},
                  {"bounds.quotaSlack", {"20"}},
                  {"nodeName", {"n1"}},
                  {"zone", {"z1"}},
                  {"ip", {"10.0.0.1"}},
                  {"innerPorts.0", {"7000"}},
                  {"innerPorts.1", {"7001"}},
                  {"seeds", {"10.0.0.1:1", "10.0.0.2:1"}},
                  {"bounds.budgetRatio", {"0.2"}},
                  {"bounds.budgetSlack", {"100"}},
                  {"bounds.graceS", {"10"}}};

Values withCloud(std::vector<std::string> duties)
{
    Values values = CALM;
    values["cloud.address"] = {"10.0.0.9:80"};
    values["cloud.dutyPerS"] = {"50"};
    values["cloud.duties"] = std::move(duties);
    values["bounds.reportWindowS"] = {"5"};
    values["bounds.usageLateS"] = {"10.0"};
    return values;
}

/** Renders a template without nested sections, as docs/design/target-counts.md describes. */
std::string render(std::string text, const Values &values)
{
    std::string out;
    while (true) {
        const std::size_t begin = text.find("{{");
        out += text.substr(0, begin);
        if (begin == std::string::npos)
            return out;
        const std::size_t end = text.find("}}", begin);
        const std::string name = text.substr(begin + 2, end - begin - 2);
        text.erase(0, end + 2);
        if (name[0] != '#') {
            const auto value = values.find(name);
            out += value == values.end() ? "" : value->second.at(0);
            continue;
        }
        const std::string close = "{{/" + name.substr(1) + "}}";
        const std::size_t sectionEnd = text.find(close);
        cr_assert_neq(sectionEnd, std::string::npos, "%s is not closed", name.c_str());
        const std::string section = text.substr(0, sectionEnd);
        text.erase(0, sectionEnd + close.size());
        cr_assert_eq(section.find("{{#"), std::string::npos, "nested section in %s", name.c_str());
        const auto value = values.find(name.substr(1));
        const std::vector<std::string> entries
            = value == values.end() ? std::vector<std::string>() : value->second;
        for (std::size_t i = 0; i < entries.size(); ++i)
            out += absl::StrReplaceAll(
                section, {{"{{.}}", entries[i]}, {"{{,}}", i + 1 < entries.size() ? "," : ""}});
    }
}

std::string renderFile(const std::string &name, const Values &values)
{
    std::ifstream file(absl::StrCat(REGRESSION_FOLDER, "/../platform/", name));
    std::ostringstream text;
    text << file.rdbuf();
    return render(text.str(), values);
}

const char *const TAIL = R"("host": "n1",
    "zone": "z1",
    "edge": "platform",
    "operators": "10.0.0.1:7001",
    "peers": "10.0.0.1:7000",
    "controlSeeds": [ "10.0.0.1:1","10.0.0.2:1" ],
    "retryShare": 0.2,
    "retryBurst": 100,
    "graceSeconds": 10,
    "drainMs": 2500
}
)";

Settings parse(const std::string &text)
{
    const CheckedSettings checked = parseSettings("f", text);
    cr_assert(checked.problems.empty(), "%s in %s", nlohmann::json(checked.problems).dump().c_str(),
              text.c_str());
    return checked.settings;
}

/** @return Fields with problems. */
std::vector<std::string> problemsOf(const std::string &fields)
{
    const std::string text = absl::StrReplaceAll(
        renderFile("control.json", CALM), {{"\"drainMs\": 2500", "\"drainMs\": 2500," + fields}});
    std::vector<std::string> names;
    for (const FieldProblem &problem : parseSettings("f", text).problems)
        names.push_back(problem.field);
    return names;
}

constexpr const char *USAGE = R"("duties":["usage"],"infrastructure":"10.0.0.9:80",)";

} // namespace

// Guards against a deployment without an infrastructure's interface that gets other settings.
Test(settings, templates_without_cloud_render_as_before)
{
    cr_assert_eq(renderFile("control.json", CALM), std::string(R"({
    "entry": false,
    "control": true,
    "dataFolder": "/d",
    "targets": "10.0.0.1:1",
    "found": true,
    "voters": 5,
    "orderSeparationMs": 3000,
    "rateLeeway": 0.05,
    "burstLeeway": 20,
    "prefetch": true,
    )") + TAIL);
    cr_assert_eq(renderFile("entry.json", CALM), std::string(R"({
    "entry": true,
    "control": false,
    "callers": "10.0.0.1:2",
    "readiness": "10.0.0.1:3",
    )") + TAIL);
    const Settings settings = parse(renderFile("control.json", CALM));
    cr_assert_eq(settings.infrastructure.port, 0);
    cr_assert(!settings.reportsUsage && !settings.ordersTargets);
    cr_assert_not(parse(renderFile("entry.json", CALM)).reportsUsage);
}

// Guards against settings with which a daemon does not start, or does not do its duties.
Test(settings, templates_with_cloud_give_the_duties)
{
    const Settings both = parse(renderFile("control.json", withCloud({"usage", "autoscale"})));
    cr_assert_eq(both.infrastructure.text(), "10.0.0.9:80");
    cr_assert_eq(both.infrastructureCallsPerSecond, 50);
    cr_assert(both.reportsUsage && both.ordersTargets);
    cr_assert(both.usageWindow == 5s && both.usageDue == 10s);
    const Settings entry = parse(renderFile("entry.json", withCloud({"usage", "autoscale"})));
    cr_assert(entry.reportsUsage && entry.usageWindow == 5s);
}

// Guards against hosts that count requests which nobody reports.
Test(settings, hosts_count_only_for_the_duty_usage)
{
    const Settings entry = parse(renderFile("entry.json", withCloud({"autoscale"})));
    cr_assert_not(entry.reportsUsage);
    const Settings control = parse(renderFile("control.json", withCloud({"autoscale"})));
    cr_assert(!control.reportsUsage && control.ordersTargets);
    for (const char *name : {"control.json", "entry.json"})
        cr_assert_not(parse(renderFile(name, withCloud({}))).reportsUsage);
}

// Guards against duties that are silently not done, and against values without a meaning.
Test(settings, fields_of_the_interface_are_checked)
{
    using Names = std::vector<std::string>;
    cr_expect_eq(problemsOf(R"("duties":["usage"],"usageWindowSeconds":5)"),
                 Names{"infrastructure"});
    cr_expect_eq(problemsOf(absl::StrCat(USAGE, R"("usageDueSeconds":5)")),
                 Names{"usageWindowSeconds"});
    cr_expect_eq(problemsOf(R"("duties":["usages"])"), Names{"duties"});
    cr_expect_eq(problemsOf(R"("duties":"usage")"), Names{"duties"});
    cr_expect_eq(problemsOf(R"("infrastructure":"interface:80")"), Names{"infrastructure"});
    cr_expect_eq(problemsOf(R"("infrastructureCallsPerSecond":0)"),
                 Names{"infrastructureCallsPerSecond"});
    cr_expect_eq(problemsOf(R"("usageWindowSeconds":-5)"), Names{"usageWindowSeconds"});
    cr_expect_eq(problemsOf(R"("usageDueSeconds":"10")"), Names{"usageDueSeconds"});
    cr_expect_eq(problemsOf(absl::StrCat(USAGE, R"("usageWindowSeconds":0.5)")), Names{});
}

// Guards against a report that is due before its window has ended.
Test(settings, a_report_is_due_two_windows_after_its_window_by_default)
{
    const std::string text = absl::StrReplaceAll(
        renderFile("control.json", CALM),
        {{"\"drainMs\": 2500",
          absl::StrCat(USAGE, R"("drainMs": 2500, "usageWindowSeconds": 0.29)")}});
    const Settings settings = parse(text);
    cr_assert(settings.usageWindow == 290ms && settings.usageDue == 580ms);
}
