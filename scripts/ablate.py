#!/usr/bin/env python3
"""Measures what each mechanism of a node contributes by switching off one at a time.

Clones the committed code once for each MM_WITH_... of src/config.h, with that
switch set to 0, and once as it is.  Runs the same days with the same seeds on
every clone and prints, for each mechanism and site, the mean difference of the
bench's worth with and without the mechanism, and its standard error.  All runs
are trials; their output stays in --out, their journal entries in
OUT/NAME/journal.

  ablate.py --bench FLEETBENCH [--only A,B] [--days A,B] [--seeds N] [--first SEED]
            [--jobs N] [--out DIR] SITE.toml...
"""
import argparse, concurrent.futures as cf, os, re, statistics, subprocess, sys, tempfile, tomllib

WORTH_LINE = re.compile(r"^worth (\S+) = ", re.M)
SWITCH_LINE = re.compile(r"^#define MM_WITH_(\w+) 1", re.M)


def clone(bench, out, name):
    """Clones and builds the committed code, with the mechanism of that name, if any, switched off."""
    folder = os.path.join(out, name or "as-it-is")
    repo = subprocess.check_output(["git", "rev-parse", "--show-toplevel"], text=True).strip()
    subprocess.check_call(["git", "clone", "-q", repo, folder])
    config = os.path.join(folder, "src", "config.h")
    with open(config) as f:
        text = f.read()
    if name:
        text = text.replace(f"#define MM_WITH_{name} 1", f"#define MM_WITH_{name} 0")
        with open(config, "w") as f:
            f.write(text)
    built = subprocess.run([bench, "build"], cwd=folder, text=True, capture_output=True)
    if built.returncode:
        sys.exit(f"ablate: {name} does not build:\n{built.stdout}{built.stderr}")
    return folder


# Runs one day with one seed on the clone in folder and keeps the output.  Returns the worth, None if there is none.
def run_day(bench, out, folder, site, day, seed):
    bench_run = subprocess.run([bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1"],
                               cwd=folder, text=True, capture_output=True)
    label = "-".join([os.path.basename(folder), os.path.basename(site), day, str(seed)])
    with open(os.path.join(out, label + ".txt"), "w") as f:
        f.write(bench_run.stdout + bench_run.stderr)
    match = WORTH_LINE.search(bench_run.stdout)
    return float(match[1]) if match else None


# Returns the names of the wanted days of a site, or of all but the quiet ones.
def select_days(site, wanted):
    with open(site, "rb") as f:
        names = [d["name"] for d in tomllib.load(f)["day"]]
    return [n for n in names if (n in wanted if wanted else not n.startswith("quiet"))]


def main():
    ap = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    ap.add_argument("sites", nargs="+", metavar="SITE.toml")
    ap.add_argument("--bench", required=True)
    ap.add_argument("--only", help="comma-separated mechanisms (default: all)")
    ap.add_argument("--days", help="comma-separated days (default: all but the quiet ones)")
    ap.add_argument("--seeds", type=int, default=2)
    ap.add_argument("--first", type=int, default=1)
    ap.add_argument("--jobs", type=int, default=4)
    ap.add_argument("--out")
    args = ap.parse_args()
    args.bench = os.path.abspath(args.bench)
    out = args.out or tempfile.mkdtemp(prefix="ablate-")
    os.makedirs(out, exist_ok=True)
    with open("src/config.h") as f:
        mechanisms = SWITCH_LINE.findall(f.read())
    if args.only:
        mechanisms = [m for m in mechanisms if m in args.only.split(",")]
    folders = {m: clone(args.bench, out, m) for m in [None] + mechanisms}
    day_runs = [(s, d, args.first + i) for s in map(os.path.abspath, args.sites)
                for d in select_days(s, args.days and args.days.split(",")) for i in range(args.seeds)]
    with cf.ThreadPoolExecutor(args.jobs) as pool:
        runs = {(m, p): pool.submit(run_day, args.bench, out, folders[m], *p) for p in day_runs for m in folders}
        worth = {k: f.result() for k, f in runs.items()}
    print("gain in worth: mean +- standard error (pairs)")
    for m in mechanisms:
        row = [f"{m:16}"]
        for site in map(os.path.abspath, args.sites):
            gains = [worth[None, p] - worth[m, p] for p in day_runs
                     if p[0] == site and None not in (worth[None, p], worth[m, p])]
            error = statistics.stdev(gains) / len(gains) ** 0.5 if len(gains) > 1 else float("nan")
            row.append(f"{statistics.fmean(gains):+.4f} +- {error:.4f} ({len(gains)})" if gains else "no result")
        print("  ".join(row))


main()
