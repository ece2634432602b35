#!/usr/bin/env python3
"""Where callers lose: jobs that were late, refused or failed, by disruption.

Plays the days of a site and shares the jobs that were not answered in time in
each window of two seconds out among the disruptions of that moment (those under
way, or over for less than two seconds; "none" without any).  A late job counts
0.8, as it keeps a fifth of its worth.  Runs are trials.

  losses.py --bench FLEETBENCH [--days A,B] [--seeds N] [--first SEED] [--jobs N] [--small] SITE.toml

--small plays the small twins of a large site's days.
"""
import argparse, collections, concurrent.futures as cf, json, os, subprocess, tempfile, tomllib

WINDOW_S = 2.0      # of the bench's table
AFTER_S = 2.0       # callers who were cut off are back by then
LATE_LOSS = 0.8     # of a job's worth


def play(bench, site, day, seed, folder, small):
    report = os.path.join(folder, f"{day}-{seed}.json")
    subprocess.run([bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1", "--report", report]
                   + (["--small"] if small else []),
                   capture_output=True, check=True)
    with open(report) as f:
        return json.load(f)


def add_losses(report, lost, asked):
    for w in report["windows"]:
        begin = float(w["name"])
        kinds = {e["kind"] for e in report["events"]
                 if e["at_s"] < begin + WINDOW_S and e["to_s"] + AFTER_S > begin} or {"none"}
        asked[0] += w["n"] - w["not_owed"]
        for kind in kinds:
            for column, weight in (("refused", 1), ("failed", 1), ("late", LATE_LOSS)):
                lost[kind][column] += weight * w[column] / len(kinds)


def main():
    ap = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    ap.add_argument("site", metavar="SITE.toml")
    ap.add_argument("--bench", required=True)
    ap.add_argument("--days", help="by default all but the quiet ones")
    ap.add_argument("--seeds", type=int, default=3)
    ap.add_argument("--first", type=int, default=1)
    ap.add_argument("--jobs", type=int, default=4)
    ap.add_argument("--small", action="store_true")
    a = ap.parse_args()
    with open(a.site, "rb") as f:
        names = [d["name"] for d in tomllib.load(f)["day"]]
    days = a.days.split(",") if a.days else [n for n in names if not n.startswith("quiet")]
    lost, asked = collections.defaultdict(collections.Counter), [0]
    with tempfile.TemporaryDirectory() as folder, cf.ThreadPoolExecutor(a.jobs) as pool:
        runs = [pool.submit(play, os.path.abspath(a.bench), a.site, d, a.first + i, folder, a.small)
                for d in days for i in range(a.seeds)]
        for run in runs:
            add_losses(run.result(), lost, asked)
    print(f"{os.path.basename(a.site)}: jobs lost of 1,000 asked, by disruption")
    print(f"{'':34}  refused   failed     late      all")
    for kind, c in sorted(lost.items(), key=lambda kv: -sum(kv[1].values())):
        row = [1000 * c[k] / asked[0] for k in ("refused", "failed", "late")]
        print(f"{kind:34}" + "".join(f"{v:9.2f}" for v in row + [sum(row)]))


main()
