#!/usr/bin/env python3
"""What each mechanism of a node is worth: each switched off in turn.

Clones the committed code once for each MM_WITH_... of src/config.h with that
one set to 0, plays the same days with the same seeds on it and on the code as
it is, and prints for each site the mean difference of the worth that the
mechanism brings, with its standard error.  Runs are trials; their output stays
in --out, journal entries in OUT/NAME/journal.

  ablate.py --bench FLEETBENCH [--only A,B] [--days A,B] [--seeds N] [--first SEED]
            [--jobs N] [--out DIR] SITE.toml...
"""
import argparse, concurrent.futures as cf, os, re, statistics, subprocess, sys, tempfile, tomllib

WORTH = re.compile(r"^worth (\S+) = ", re.M)
SWITCH = re.compile(r"^#define MM_WITH_(\w+) 1", re.M)


def clone(bench, out, name):
    """The committed code, with the mechanism of that name (if any) off."""
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


def play(bench, out, folder, site, day, seed):
    r = subprocess.run([bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1"],
                       cwd=folder, text=True, capture_output=True)
    label = "-".join([os.path.basename(folder), os.path.basename(site), day, str(seed)])
    with open(os.path.join(out, label + ".txt"), "w") as f:
        f.write(r.stdout + r.stderr)
    found = WORTH.search(r.stdout)
    return float(found[1]) if found else None


def days_of(site, wanted):
    with open(site, "rb") as f:
        names = [d["name"] for d in tomllib.load(f)["day"]]
    return [n for n in names if (n in wanted if wanted else not n.startswith("quiet"))]


def main():
    ap = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    ap.add_argument("sites", nargs="+", metavar="SITE.toml")
    ap.add_argument("--bench", required=True)
    ap.add_argument("--only", help="mechanisms, by default all")
    ap.add_argument("--days", help="by default all but the quiet ones")
    ap.add_argument("--seeds", type=int, default=2)
    ap.add_argument("--first", type=int, default=1)
    ap.add_argument("--jobs", type=int, default=4)
    ap.add_argument("--out")
    a = ap.parse_args()
    a.bench = os.path.abspath(a.bench)
    out = a.out or tempfile.mkdtemp(prefix="ablate-")
    os.makedirs(out, exist_ok=True)
    with open("src/config.h") as f:
        mechanisms = SWITCH.findall(f.read())
    if a.only:
        mechanisms = [m for m in mechanisms if m in a.only.split(",")]
    folders = {m: clone(a.bench, out, m) for m in [None] + mechanisms}
    plays = [(s, d, a.first + i) for s in map(os.path.abspath, a.sites)
             for d in days_of(s, a.days and a.days.split(",")) for i in range(a.seeds)]
    with cf.ThreadPoolExecutor(a.jobs) as pool:
        runs = {(m, p): pool.submit(play, a.bench, out, folders[m], *p) for p in plays for m in folders}
        worth = {k: f.result() for k, f in runs.items()}
    print("what it brings: mean +- standard error (pairs)")
    for m in mechanisms:
        row = [f"{m:16}"]
        for site in map(os.path.abspath, a.sites):
            d = [worth[None, p] - worth[m, p] for p in plays
                 if p[0] == site and None not in (worth[None, p], worth[m, p])]
            error = statistics.stdev(d) / len(d) ** 0.5 if len(d) > 1 else float("nan")
            row.append(f"{statistics.fmean(d):+.4f} +- {error:.4f} ({len(d)})" if d else "no result")
        print("  ".join(row))


main()
