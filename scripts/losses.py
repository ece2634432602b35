#!/usr/bin/env python3
"""Attributes jobs that were late, refused or failed to disruptions.

Runs the days of a site.  The jobs of each window of two seconds that were not
answered in time are divided equally among the disruptions of that window: those
in progress, and those that ended less than two seconds before.  Jobs of a
window without a disruption count as "none".  A late job counts 0.8 of a job, as
it keeps a fifth of its worth.  All runs are trials.

  losses.py --bench FLEETBENCH [--days A,B] [--seeds N] [--first SEED] [--jobs N] [--small] SITE.toml

--small runs the small versions of a large site's days.
"""
import argparse, collections, concurrent.futures as cf, json, os, subprocess, tempfile, tomllib

WINDOW_S = 2.0      # length of a window in the bench's report
RECOVERY_S = 2.0    # callers that were disconnected have reconnected this long after a disruption
LATE_LOSS = 0.8     # share of its worth that a late job loses


# Runs one day with one seed and returns the report of the bench.
def run_day(bench, site, day, seed, folder, small):
    report = os.path.join(folder, f"{day}-{seed}.json")
    subprocess.run([bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1", "--report", report]
                   + (["--small"] if small else []),
                   capture_output=True, check=True)
    with open(report) as f:
        return json.load(f)


# Adds the jobs that a report shows as lost to losses (disruption -> column -> jobs), and the number of jobs that were
# owed an answer to jobs_owed[0].
def add_losses(report, losses, jobs_owed):
    for window in report["windows"]:
        start_s = float(window["name"])
        kinds = {e["kind"] for e in report["events"]
                 if e["at_s"] < start_s + WINDOW_S and e["to_s"] + RECOVERY_S > start_s} or {"none"}
        jobs_owed[0] += window["n"] - window["not_owed"]
        for kind in kinds:
            for column, weight in (("refused", 1), ("failed", 1), ("late", LATE_LOSS)):
                losses[kind][column] += weight * window[column] / len(kinds)


def main():
    ap = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    ap.add_argument("site", metavar="SITE.toml")
    ap.add_argument("--bench", required=True)
    ap.add_argument("--days", help="comma-separated days (default: all but the quiet ones)")
    ap.add_argument("--seeds", type=int, default=3)
    ap.add_argument("--first", type=int, default=1)
    ap.add_argument("--jobs", type=int, default=4)
    ap.add_argument("--small", action="store_true")
    args = ap.parse_args()
    with open(args.site, "rb") as f:
        names = [d["name"] for d in tomllib.load(f)["day"]]
    days = args.days.split(",") if args.days else [n for n in names if not n.startswith("quiet")]
    losses, jobs_owed = collections.defaultdict(collections.Counter), [0]
    with tempfile.TemporaryDirectory() as folder, cf.ThreadPoolExecutor(args.jobs) as pool:
        runs = [pool.submit(run_day, os.path.abspath(args.bench), args.site, d, args.first + i, folder, args.small)
                for d in days for i in range(args.seeds)]
        for run in runs:
            add_losses(run.result(), losses, jobs_owed)
    print(f"{os.path.basename(args.site)}: jobs lost per 1,000 owed an answer, by disruption")
    print(f"{'':34}  refused   failed     late      all")
    for kind, c in sorted(losses.items(), key=lambda kv: -sum(kv[1].values())):
        row = [1000 * c[k] / jobs_owed[0] for k in ("refused", "failed", "late")]
        print(f"{kind:34}" + "".join(f"{v:9.2f}" for v in row + [sum(row)]))


main()
