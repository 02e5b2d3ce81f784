/** @file folder_test.cpp Merging and validation of configuration folders and settings. */
#include "config/folder_func.h"
#include "config/settings_func.h"

#include <criterion/criterion.h>

using namespace bilberry;

Test(folder, later_files_override_fields_of_earlier_files)
{
    const CheckedFolder checked = mergeConfigFiles(
        {{"10.json", R"({"accounts":[{"id":"a","requestsPerSecond":5,"requestBurst":9}]})"},
         {"20.json", R"({"accounts":[{"id":"a","requestsPerSecond":7}]})"}});
    cr_assert(checked.problems.empty());
    const Account &account = checked.config.accounts.at(AccountId("a"));
    cr_assert_eq(account.requestsPerSecond, 7);
    cr_assert_eq(account.requestBurst, 9);
}

Test(folder, problems_report_file_field_and_expected_value)
{
    const CheckedFolder checked = mergeConfigFiles(
        {{"x.json",
          R"({"accounts":[{"id":"a","requestBurst":0,"colour":1,"models":["none"]}],)"
          R"("routes":[{"id":"r","path":"no-slash","service":"s"}]})"}});
    std::set<std::string> fields;
    for (const FieldProblem &problem : checked.problems) {
        cr_assert_eq(problem.file, "x.json");
        cr_assert(!problem.expected.empty());
        fields.insert(problem.field);
    }
    cr_assert(fields.contains("accounts[a].requestBurst"));
    cr_assert(fields.contains("accounts[a].colour"));
    cr_assert(fields.contains("accounts[a].models"));
    cr_assert(fields.contains("routes[r].path"));
}

// Guards against priorities that are lost, or outside their range, in a folder.
Test(folder, priorities_are_read_and_checked)
{
    const CheckedFolder checked
        = mergeConfigFiles({{"x.json",
                             R"({"accounts":[{"id":"a","priority":2},{"id":"b"}],)"
                             R"("routes":[{"id":"r","path":"/r","service":"s","priority":1}]})"}});
    cr_assert(checked.problems.empty());
    cr_assert_eq(*checked.config.accounts.at(AccountId("a")).priority, 2);
    cr_assert_not(checked.config.accounts.at(AccountId("b")).priority);
    cr_assert_eq(checked.config.routes.at(RouteId("r")).priority, 1);
    const CheckedFolder wrong
        = mergeConfigFiles({{"x.json", R"({"accounts":[{"id":"a","priority":-1}]})"}});
    cr_assert_eq(wrong.problems.size(), 1);
    cr_assert_eq(wrong.problems.front().field, "accounts[a].priority");
}

Test(settings, invalid_and_unknown_fields_are_reported)
{
    const CheckedSettings checked = parseSettings(
        "s.json",
        R"({"host":"h","zone":"z","callers":"localhost:1","operators":"127.0.0.1:70000",)"
        R"("targets":"127.0.0.1:0","controlHosts":{"h":"127.0.0.1:1"},"color":"red"})");
    std::set<std::string> fields;
    for (const FieldProblem &problem : checked.problems)
        fields.insert(problem.field);
    cr_assert_eq(fields, (std::set<std::string>{"callers", "operators", "color"}));
}
