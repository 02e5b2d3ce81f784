"""Runs the benchmarks and writes an HTML page that compares the results with naive baselines."""

import argparse
import html
import json
import subprocess


def bench(build, what, seeds):
    """Runs one benchmark of bilberrybench and returns its parsed JSON output."""
    process = subprocess.run([f"{build}/bilberrybench", "--what", what, "--seeds", str(seeds)],
                             capture_output=True, text=True, check=True, timeout=300)
    return json.loads(process.stdout)


def bars(title, unit, rows):
    """Returns the HTML of one bar chart; rows are (label, value)."""
    most = max(value for _, value in rows) or 1
    lines = []
    for i, (label, value) in enumerate(rows):
        y, width = 22 * i, 380 * value / most
        color = "#446688" if "naive" not in label else "#bbaa99"
        lines.append(f'<rect x="260" y="{y + 3}" width="{width:.1f}" height="16" fill="{color}"/>'
                     f'<text x="252" y="{y + 16}" text-anchor="end">{html.escape(label)}</text>'
                     f'<text x="{266 + width:.1f}" y="{y + 16}">{value:.2f}</text>')
    return (f"<h2>{html.escape(title)} ({html.escape(unit)})</h2>"
            f'<svg width="720" height="{22 * len(rows) + 4}" font-size="13" '
            f'font-family="sans-serif">{"".join(lines)}</svg>')


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--out", default="bench-report.html")
    options = parser.parse_args()
    placement = bench(options.build, "placement", 3)
    fairness = bench(options.build, "fairness", 3)
    rates = bench(options.build, "rates", 3)
    charts = []
    for title, unit, key in (("Tail of cold starts", "p99, seconds", "coldP99s"),
                             ("Idle accelerators", "hours of nine engines", "idleHours"),
                             ("Refused or too late", "requests", "refused")):
        rows = []
        for run in placement:
            rows += [(f"seed {run['seed']}", run["planner"][key]),
                     (f"seed {run['seed']}, naive least recently used",
                      run["leastRecentlyUsed"][key]),
                     (f"seed {run['seed']}, naive keep all", run["keepAll"][key])]
        charts.append(bars(title, unit, rows))
    charts.append(bars("Worst-served account under a flood", "share served", [
        row for run in fairness for row in (
            (f"seed {run['seed']}", run["worstShare"]),
            (f"seed {run['seed']}, naive first come", run["worstShareNaive"]))]))
    charts.append(bars("Refused at 1.1 times the rate", "requests", [
        row for run in rates for row in (
            (f"seed {run['seed']}", run["refused"]),
            (f"seed {run['seed']}, naive one bucket", run["refusedByOneBucket"]))]))
    with open(options.out, "w", encoding="utf-8") as out:
        out.write("<!doctype html><meta charset='utf-8'><title>bilberrybend: benchmarks</title>"
                  + "".join(charts))
    for run in placement:
        ours, naive = run["planner"], run["leastRecentlyUsed"]
        print(f"seed {run['seed']}: cold p99 {ours['coldP99s'] / naive['coldP99s']:.2f}, idle hours "
              f"{ours['idleHours'] / naive['idleHours']:.2f} of least recently used")
    for run in fairness:
        print(f"seed {run['seed']}: worst-served account {run['worstShare']:.3f}, "
              f"first come first served {run['worstShareNaive']:.3f}")
    for run in rates:
        print(f"seed {run['seed']}: refused {run['refused']:.0f}, "
              f"one bucket {run['refusedByOneBucket']:.0f}, of {run['sent']:.0f}")
    print(f"written: {options.out}")


if __name__ == "__main__":
    main()
