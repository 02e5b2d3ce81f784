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
