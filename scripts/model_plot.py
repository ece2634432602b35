#!/usr/bin/python3
"""Plots what `masticctl model --sweep` prints: jobs on time a second over the load, for each way to decide.

  model_plot.py [--bin DIR] LOAD.toml OUT.png
  model_plot.py --results FILE OUT.png

Plays 0.5 to 3 times the load, or reads what such a play has printed.  The
first panel is of all kinds of job together, then there is one for each kind.
Needs matplotlib (Debian: python3-matplotlib).
"""
import argparse, collections, json, os, subprocess, sys


def sweep(masticctl, load):
    """Returns what a sweep of the load prints."""
    run = subprocess.run([masticctl, "model", "--sweep", load], stdout=subprocess.PIPE, text=True)
    if run.returncode:
        sys.exit(run.returncode)
    return run.stdout


def read_points(text):
    """Returns {kind: {way: {load: jobs on time a second}}}, with the sums of all kinds as "all"."""
    points = collections.defaultdict(lambda: collections.defaultdict(collections.Counter))
    for row in map(json.loads, text.splitlines()):
        if "part" in row or "datacentre" in row:
            continue
        for kind in ("all", row["kind"]):
            points[kind][row["way"]][row["load"]] += row["on_time_per_s"]
    return points


def main():
    here = os.path.dirname(os.path.abspath(__file__))
    ap = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    ap.add_argument("load", nargs="?")
    ap.add_argument("out")
    ap.add_argument("--bin", default=f"{here}/../build")
    ap.add_argument("--results", help="output of masticctl model --sweep")
    args = ap.parse_args()
    if bool(args.load) == bool(args.results):
        ap.error("give either LOAD.toml or --results")
    try:
        import matplotlib
    except ImportError:
        sys.exit("model_plot: matplotlib is missing (Debian: python3-matplotlib)")
    matplotlib.use("Agg")
    from matplotlib import pyplot

    if args.results:
        with open(args.results) as f:
            text = f.read()
    else:
        text = sweep(f"{args.bin}/masticctl", args.load)
    points = read_points(text)
    figure, axes = pyplot.subplots(1, len(points), figsize=(4 * len(points), 3.5), squeeze=False)
    for axis, (kind, ways) in zip(axes[0], points.items()):
        for way, jobs in ways.items():
            axis.plot(*zip(*sorted(jobs.items())), marker="o", label=way)
        axis.set_title(kind)
        axis.set_xlabel("load")
        axis.set_ylim(bottom=0)
    axes[0][0].set_ylabel("jobs on time per second")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(args.out)


if __name__ == "__main__":
    main()
