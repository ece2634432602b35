#!/usr/bin/python3
"""Plots what `masticctl model` prints: what callers get at rising load, for each way to decide.

  model_plot.py [--bin DIR] [--factors A,B] LOAD.toml OUT.png

Plays the load with its rates multiplied by each factor.  One panel for each
kind of job: the share of jobs on time, against the share of the capacity that
was used.  Needs matplotlib (Debian: python3-matplotlib).
"""
import argparse, collections, json, os, re, subprocess, sys, tempfile


def play(masticctl, text, factor):
    """Returns the results of the load, with its rates multiplied by factor, as a list of dictionaries."""
    scaled = re.sub(r"(?m)^per_s = ([\d.]+)$", lambda m: f"per_s = {float(m[1]) * factor:.3f}", text)
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as f:
        f.write(scaled)
        f.flush()
        out = subprocess.run([masticctl, "model", f.name], capture_output=True, text=True)
    if out.returncode:
        sys.exit(out.stderr)
    return [json.loads(line) for line in out.stdout.splitlines()]


def main():
    here = os.path.dirname(os.path.abspath(__file__))
    ap = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    ap.add_argument("load")
    ap.add_argument("out")
    ap.add_argument("--bin", default=f"{here}/../build")
    ap.add_argument("--factors", default="0.8,1,1.2,1.4,1.6")
    args = ap.parse_args()
    try:
        import matplotlib
    except ImportError:
        sys.exit("model_plot: matplotlib is missing (Debian: python3-matplotlib)")
    matplotlib.use("Agg")
    from matplotlib import pyplot
    with open(args.load) as f:
        text = f.read()
    points = collections.defaultdict(list)  # (kind, way) -> [(capacity used, share on time)]
    for factor in args.factors.split(","):
        for row in play(f"{args.bin}/masticctl", text, float(factor)):
            points[row["kind"], row["way"]].append((row["used"], row["on_time"]))
    kinds = sorted({kind for kind, _ in points})
    figure, axes = pyplot.subplots(1, len(kinds), figsize=(4 * len(kinds), 3.5), sharey=True, squeeze=False)
    for axis, kind in zip(axes[0], kinds):
        for (k, way), xy in points.items():
            if k == kind:
                axis.plot(*zip(*xy), marker="o", label=way)
        axis.set_title(kind)
        axis.set_xlabel("capacity used")
    axes[0][0].set_ylabel("jobs on time")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(args.out)


main()
