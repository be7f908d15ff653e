#!/usr/bin/env python3
"""Plays days that are drawn by lot from all kinds of trouble that the bench lists for a deployment.

Each day has 4 to 8 faults and 3 to 6 pieces of planned work, each of any listed kind in any variant, at any moment and
perhaps more than once, and on a third of the days a closing fault. A day is drawn from its seed alone (and the forced
kinds), is written as a TOML file that the bench plays on any deployment, and is played with the same seed. Reports and
the bench's output are kept in a folder, each day's file beside them. A table shows what came of each day; days that
broke a rule or lie under the lowest floors of the deployment's standard days are copied into `kept/`.

Exit status: 0 if nothing broke or fell short, 1 if something did, 2 if a day couldn't be played.

Examples (in the repository; FLEETBENCH names the bench's program):
    drawn_days.py ../kit/sites/pamoja-ops.toml --first-seed 41000 --days 24 --at-once 2 --folder /tmp/drawn
    drawn_days.py ../kit/sites/pamoja-ops.toml --days 8 --force clock_step --force herd_kill
    drawn_days.py ../kit/sites/pamoja-ops.toml --days 8 --only-draw
"""

from __future__ import annotations

import argparse
import json
import os
import random
import shutil
import subprocess
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import floors
from day_kinds import CLOSING_DOWN_S, CLOSING_HOWS, CLOSING_KINDS, KINDS, Entry, Kind, Scene, draw_entry, kinds_of_listing

FEWEST_FAULTS, MOST_FAULTS = 4, 8
FEWEST_PLANS, MOST_PLANS = 3, 6
CLOSING_SHARE = 1 / 3


class Unplayable(Exception):
    """The bench or the deployment can't be used as asked; the text says why."""


@dataclass(frozen=True)
class DrawnDay:
    """A day drawn by lot; its seed is also what it is played with."""

    seed: int
    plan: tuple[Entry, ...]
    faults: tuple[Entry, ...]
    closing: Entry | None

    @property
    def name(self) -> str:
        return f"drawn-{self.seed}"

    def to_toml(self) -> str:
        lines = [f"# Drawn by lot with seed {self.seed}.", "[[day]]", f'name = "{self.name}"']
        if self.closing:
            lines.append(f"closing = {self.closing.to_toml()}")
        for name, entries in (("plan", self.plan), ("faults", self.faults)):
            lines += [f"{name} = [", *(f"  {entry.to_toml()}," for entry in entries), "]"]
        return "\n".join(lines) + "\n"


@dataclass(frozen=True)
class Outcome:
    """What came of a day: the day as played, or why it wasn't; with it the bench's times of acknowledgement, in ms."""

    day: DrawnDay
    played: floors.PlayedDay | None
    problem: str = ""
    acks_ms: tuple[float, ...] = ()
    first_breaks: tuple[str, ...] = ()


@dataclass(frozen=True)
class Bench:
    """The bench's program and how it is to play."""

    program: str
    site: Path
    folder: Path
    why: str
    no_cpu: bool

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run([self.program, *arguments], capture_output=True, text=True, check=False)

    def kinds(self) -> list[str]:
        """The kinds that the bench lists for the deployment; Unplayable if one of them can't be drawn here."""
        listing = self.run("kinds", str(self.site))
        names = kinds_of_listing(listing.stdout)
        unknown = [name for name in names if name not in KINDS]
        if listing.returncode != 0 or not names:
            raise Unplayable(f"the bench lists no kinds: {listing.stderr.strip()}")
        if unknown:
            raise Unplayable(f"day_kinds.py doesn't know {', '.join(unknown)}")
        return names

    def build(self) -> None:
        """Builds once, so that plays at the same time find everything built."""
        built = self.run("build")
        if built.returncode != 0:
            raise Unplayable(f"the build failed: {built.stdout[-2000:]}{built.stderr[-2000:]}")

    def play(self, day: DrawnDay) -> Outcome:
        """Plays a day; its file, report and output stay in the folder."""
        file = self.folder / f"{day.name}.toml"
        report = self.folder / f"{day.name}.json"
        report.unlink(missing_ok=True)
        arguments = ["run", str(self.site), str(file), "--seed", str(day.seed), "--jobs", "1", "--report", str(report)]
        arguments += ["--why", f"{self.why} (drawn by lot, seed {day.seed})"] + (["--no-cpu"] if self.no_cpu else [])
        run = self.run(*arguments)
        (self.folder / f"{day.name}.txt").write_text(run.stdout + run.stderr, encoding="utf-8")
        if not report.is_file():
            return Outcome(day, None, problem=(run.stderr or run.stdout).strip()[-200:])
        return outcome_of_report(day, report)


def outcome_of_report(day: DrawnDay, file: Path) -> Outcome:
    report = json.loads(file.read_text(encoding="utf-8"))
    return Outcome(
        day=day,
        played=floors.day_of_report(file.name, day.name, report),
        acks_ms=tuple(report["times"].get("config acked") or ()),
        first_breaks=tuple(str(line) for line in report["first"]),
    )


def ways_of(names: list[str], planned: bool) -> list[tuple[Kind, ...]]:
    """For each kind that may be planned work (or a fault), the ways in which it may be drawn as such."""
    ways = (tuple(way for way in KINDS[name] if (way.planned if planned else way.fault)) for name in names)
    return [way for way in ways if way]


def draw_entries(lot: random.Random, names: list[str], scene: Scene, planned: bool, number: int) -> list[Entry]:
    """Each kind is as likely as any other, whatever the number of its variants."""
    ways = ways_of(names, planned)
    return [draw_entry(lot, lot.choice(lot.choice(ways)), scene) for _ in range(number)]


def draw_forced(lot: random.Random, name: str, scene: Scene) -> tuple[bool, Entry]:
    """An entry of a kind that every day is to have, and whether it is planned work."""
    way = lot.choice(KINDS[name])
    return way.planned, draw_entry(lot, way, scene)


def draw_closing(lot: random.Random) -> Entry | None:
    if lot.random() >= CLOSING_SHARE:
        return None
    closing: dict[str, float | str] = {"kind": lot.choice(CLOSING_KINDS), "down_s": CLOSING_DOWN_S.draw(lot)}
    how = lot.choice(CLOSING_HOWS)
    return Entry(closing | ({"how": how} if how else {}))


def draw_day(seed: int, names: list[str], scene: Scene, forced: list[str]) -> DrawnDay:
    """The day of a seed. Forced kinds come in addition to what is drawn."""
    lot = random.Random(seed)
    plan = draw_entries(lot, names, scene, True, lot.randint(FEWEST_PLANS, MOST_PLANS))
    faults = draw_entries(lot, names, scene, False, lot.randint(FEWEST_FAULTS, MOST_FAULTS))
    closing = draw_closing(lot)
    for name in forced:
        planned, entry = draw_forced(lot, name, scene)
        (plan if planned else faults).append(entry)
    return DrawnDay(seed, tuple(plan), tuple(faults), closing)


def scene_of(file: Path, site: floors.Site) -> Scene:
    length_s = tomllib.loads(file.read_text(encoding="utf-8"))["length_s"]
    return Scene(length_s=length_s, classes=site.classes, zones=site.zones)


def lowest_part(names: tuple[str, ...], values: tuple[float | None, ...]) -> str:
    parts = [(value, name) for name, value in zip(names, values) if value is not None]
    return "{:.3f} {}".format(*min(parts)) if parts else "-"


def row_of(site: floors.Site, outcome: Outcome) -> str:
    """A line of the table. Acknowledgements: of configurations, the quickest and the slowest."""
    day, played = outcome.day, outcome.played
    if played is None:
        return f"{day.seed:>12}  not played: {outcome.problem}"
    broken = ", ".join(f"{rule} {count}" for rule, count in played.rules.items()) or played.fault or "none"
    acks = " to ".join(f"{time:.0f}" for time in outcome.acks_ms) or "-"
    return (
        f"{day.seed:>12}  {broken:<16} {played.served:>6.3f} {played.unserved:>7.3f}  {lowest_part(site.classes, played.by_class):<22}"
        f" {lowest_part(site.zones, played.by_zone):<22} {acks:<14} {'yes' if day.closing else ''}"
    )


def print_table(site: floors.Site, outcomes: list[Outcome]) -> None:
    print(f"\n{site.name}")
    print(
        f"{'seed':>12}  {'rules broken':<16} {'served':>6} {'unserved':>7}  {'lowest class':<22} {'lowest zone':<22}"
        f" {'acked in, ms':<14} closing"
    )
    for outcome in outcomes:
        print(row_of(site, outcome))


def keep_bad_days(site: floors.Site, outcomes: list[Outcome], folder: Path) -> int:
    """Copies the files of days that broke a rule or fell short, tells why, and returns how many there are."""
    kept = 0
    for outcome in outcomes:
        short = floors.shortfalls_of(site, outcome.played) if outcome.played else []
        if not short:
            continue
        kept += 1
        target = folder / "kept"
        target.mkdir(exist_ok=True)
        shutil.copy(folder / f"{outcome.day.name}.toml", target)
        floors.print_shortfalls(short)
        for line in outcome.first_breaks:
            print(f"       {line}")
    return kept


def parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=Path, help="the deployment's site file")
    parser.add_argument("--bench", default=os.environ.get("FLEETBENCH"), help="the bench's program (default: $FLEETBENCH)")
    parser.add_argument("--days", type=int, default=8, help="how many days (default: 8)")
    parser.add_argument("--first-seed", type=int, help="seed of the first day, the others follow (default: drawn and told)")
    parser.add_argument("--at-once", type=int, default=1, help="how many days to play at the same time (default: 1)")
    parser.add_argument("--folder", type=Path, default=Path("target/drawn"), help="where days and reports go (default: target/drawn)")
    parser.add_argument("--force", action="append", default=[], choices=sorted(KINDS), help="a kind that every day has; may be repeated")
    parser.add_argument("--why", default="Days by lot", help="the line for the journal")
    parser.add_argument("--no-cpu", action="store_true", help="processor time isn't charged")
    parser.add_argument("--only-draw", action="store_true", help="writes the days and plays none")
    return parser.parse_args(arguments)


def draw_days(options: argparse.Namespace, bench: Bench, site: floors.Site) -> list[DrawnDay]:
    """Draws the days and writes their files."""
    first = options.first_seed if options.first_seed is not None else random.SystemRandom().randrange(10**9)
    names, scene = bench.kinds(), scene_of(options.site, site)
    days = [draw_day(seed, names, scene, options.force) for seed in range(first, first + options.days)]
    for day in days:
        (bench.folder / f"{day.name}.toml").write_text(day.to_toml(), encoding="utf-8")
    print(f"{site.name}: {len(days)} days by lot, seeds {first} to {first + options.days - 1}, forced: {options.force or 'none'}", flush=True)
    return days


def play_days(options: argparse.Namespace, bench: Bench, days: list[DrawnDay]) -> list[Outcome]:
    bench.build()
    with ThreadPoolExecutor(max_workers=options.at_once) as pool:
        return list(pool.map(bench.play, days))


def main(arguments: list[str] | None = None) -> int:
    options = parse_arguments(arguments)
    if not options.bench:
        print("drawn_days: --bench or FLEETBENCH must name the bench's program", file=sys.stderr)
        return 2
    folder = options.folder / options.site.stem
    folder.mkdir(parents=True, exist_ok=True)
    bench = Bench(options.bench, options.site, folder, options.why, options.no_cpu)
    try:
        site = floors.read_site(options.site)
        days = draw_days(options, bench, site)
        if options.only_draw:
            return 0
        outcomes = play_days(options, bench, days)
    except (Unplayable, floors.Unreadable, OSError) as problem:
        print(f"drawn_days: {problem}", file=sys.stderr)
        return 2
    print_table(site, outcomes)
    kept = keep_bad_days(site, outcomes, folder)
    unplayed = sum(outcome.played is None for outcome in outcomes)
    print(f"{len(outcomes)} days, {kept} broke a rule or fell short, {unplayed} not played; files in {folder}")
    return 2 if unplayed else int(kept > 0)


if __name__ == "__main__":
    sys.exit(main())
