#!/usr/bin/env python3
"""Plays the overload series and prints one row a play: days of a site at a small size, by seeds of their own.

Needs the bench, so it is not part of CI. Run it in the repository; the reports stay in the directory named by --out.

    tests/bench/overload_plays.py FLEETBENCH SITE --out DIR --why "what is tried" [--days scale-1,scale-2] [--seeds 8]
    tests/bench/overload_plays.py --show DIR
"""
import argparse
import json
import pathlib
import subprocess
import threading

FIRST_SEED, SEED_STEP = 770000000, 7919
DAYS = "scale-1,scale-2,trouble-1,trouble-3"
LEAST_SHARE = 0.05  # a class with fewer of the requests has no floor


def play(arguments, day, seed):
    name = f"{day}-{seed}"
    report = pathlib.Path(arguments.out).resolve() / f"{name}.json"
    command = [arguments.bench, "run", arguments.site, day, "--seed", str(seed), "--jobs", "1",
               "--report", str(report), "--why", arguments.why]
    if not arguments.full:
        command.append("--small")
    if arguments.log:
        command += ["--log", "all"]
    with open(report.with_suffix(".log"), "w") as output:
        subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, check=False)


def play_all(arguments):
    """Two plays at a time by default: the figures depend on how busy the machine is."""
    todo = [(day, FIRST_SEED + k * SEED_STEP)
            for day in arguments.days.split(",") for k in range(1, arguments.seeds + 1)]
    lock = threading.Lock()

    def worker():
        while True:
            with lock:
                if not todo:
                    return
                day, seed = todo.pop(0)
            play(arguments, day, seed)

    threads = [threading.Thread(target=worker) for _ in range(arguments.at_once)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def price(report, name):
    return next((each[2] for each in report["prices"] if each[0] == name), 0.0)


def show(directory):
    """A row a play, then the means a day and over all."""
    rows = {}
    print(f"{'day and seed':24} {'served':>6} {'refused':>7} {'failed':>6} {'class':>6} {'zone':>6} {'free':>6} "
          f"{'thrown':>6}  broken or short")
    for path in sorted(pathlib.Path(directory).glob("*.json")):
        report = json.loads(path.read_text())
        classes = [each["worth"] for each in report["classes"] if each["n"] >= LEAST_SHARE * report["all"]["n"]]
        row = [report["served"], report["refused"], report["failed"], min(classes),
               min(each["worth"] for each in report["zones"]), price(report, "worth refused with servers free"),
               price(report, "core-seconds of work thrown away")]
        rows.setdefault(path.stem.rsplit("-", 1)[0], []).append(row)
        said = [str(each) for each in (report["fault"], *report["breaks"], *report["short"], *report["missed"]) if each]
        print(f"{path.stem:24} " + " ".join(f"{value:6.3f}" for value in row) + "  " + "; ".join(said))
    for day, each in [*rows.items(), ("all", [row for day in rows.values() for row in day])]:
        if each:
            mean = [sum(column) / len(each) for column in zip(*each)]
            print(f"{day + ', mean of ' + str(len(each)):24} " + " ".join(f"{value:6.3f}" for value in mean))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench", nargs="?")
    parser.add_argument("site", nargs="?")
    parser.add_argument("--out", default="target/overload")
    parser.add_argument("--why", default="the overload series")
    parser.add_argument("--days", default=DAYS)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--full", action="store_true", help="not at the small size")
    parser.add_argument("--log", action="store_true", help="keep the daemons' logs beside the reports")
    parser.add_argument("--show", metavar="DIR")
    arguments = parser.parse_args()
    if arguments.show:
        return show(arguments.show)
    if not arguments.bench or not arguments.site:
        parser.error("the bench and a site are needed")
    pathlib.Path(arguments.out).mkdir(parents=True, exist_ok=True)
    play_all(arguments)
    show(arguments.out)


if __name__ == "__main__":
    main()
