"""Runs fault injection scenarios and counts the failed checks of each guarantee."""

import argparse
import collections
import inspect
import os
import sys
import time
import traceback

import scenarios
import uncontrolled_clients
import unread_bytes

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from unit import ROOT, read_known_failures  # pylint: disable=wrong-import-position


class Report:
    """Numbers of checks and of failed checks for each guarantee."""

    def __init__(self):
        self.checks = collections.Counter()
        self.failures = collections.Counter()
        self.details = []

    def check(self, guarantee, good, detail=""):
        self.checks[guarantee] += 1
        if not good:
            self.failures[guarantee] += 1
            self.details.append(f"{guarantee}: {detail}")
            print(f"    FAILED {guarantee}: {detail}", flush=True)


def scenarios_of(module):
    """Returns the names and functions of a module's scenarios in the order of its source."""
    found = [(name[9:], function) for name, function in inspect.getmembers(module)
             if name.startswith("scenario_")]
    return sorted(found, key=lambda item: inspect.getsourcelines(item[1])[1])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--suite", default="all", help="ci, all, or names separated by commas")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    all_scenarios = [scenario for module in (scenarios, uncontrolled_clients, unread_bytes)
                     for scenario in scenarios_of(module)]
    if options.suite == "ci":
        in_ci = scenarios.CI | uncontrolled_clients.CI | unread_bytes.CI
        selected = [item for item in all_scenarios if item[0] in in_ci]
    elif options.suite == "all":
        selected = all_scenarios
    else:
        selected = [item for item in all_scenarios if item[0] in options.suite.split(",")]
    known_failing = read_known_failures(ROOT, "scenario")
    report = Report()
    passed, failed, known_failures = 0, 0, 0
    for name, function in selected:
        before = sum(report.failures.values())
        begin = time.monotonic()
        print(f"  {name}", flush=True)
        try:
            function(options.build, report, options.seed)
            good = sum(report.failures.values()) == before
        except Exception:  # pylint: disable=broad-except
            traceback.print_exc()
            good = False
        print(f"    {'ok' if good else 'FAILED'} in {time.monotonic() - begin:.1f} s", flush=True)
        if good:
            passed += 1
        elif name in known_failing:
            known_failures += 1
            print(f"    known failure: {name}", flush=True)
        else:
            failed += 1
    print(f"\n{'guarantee':58} checks failed")
    for guarantee in sorted(report.checks):
        print(f"{guarantee:58} {report.checks[guarantee]:6} {report.failures[guarantee]:6}")
    print(f"\n{passed} passed, {failed} failed, {known_failures} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
