#!/usr/bin/env python3
"""Holds the days of journal entries and reports against the floors of the gate.

A hunt of the bench prints broken rules only. This tool reads what the bench wrote (entries of `journal/`, of `run`,
`score`, `hunt` and `replay`, and files of `run --report`) and holds every day against:

- the floors of its standard day in the site file: the whole day, each class and each zone of clients that has a
  twentieth of the requests or more (others are null in `by_class` and `by_zone`, and are left out). A day of no
  standard day ('mix', a day of one's own, a replay by another name) is held against the lowest floors of the site;
- at most 60% of the requests refused or failed;
- broken rules and faults;
- whatever the bench itself found short, word for word: only there are the sizes (largest tenth and next fifth of a
  class) and acknowledgements (configurations, cancels, leaving workers) told, since no entry holds their figures.

It prints what is short with its place, then the lowest margins of each site. Exit status: 0 if nothing is short,
1 if something is, 2 if something couldn't be read.

Examples:
    floors.py --sites ../kit/sites journal/20261202T063443-eebc4189.json
    floors.py --sites ../kit/sites --sites ../kit/more eebc4189 f5f23c06
    floors.py --sites ../kit/sites --site pamoja-ops --day scale-2 report.json
"""

from __future__ import annotations

import argparse
import json
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

# The gate's largest share of refused and failed requests, of those that are owed.
MOST_UNSERVED = 0.6

WHOLE_DAY = "whole day"


class Unreadable(Exception):
    """A file or an argument that can't be used; its text says which and why."""


@dataclass(frozen=True)
class Floors:
    """The least shares of worth earned of worth owed, as the site file has them for one standard day."""

    day: str
    whole: float
    classes: tuple[float, ...] = ()
    zones: tuple[float, ...] = ()


@dataclass(frozen=True)
class Site:
    """A deployment: its classes and zones in the order of the site file, and the floors of its standard days."""

    name: str
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    days: dict[str, Floors]

    def lowest_floors(self) -> Floors:
        """For days without floors of their own: the lowest of the standard days, each part by itself."""
        days = list(self.days.values())
        return Floors(
            day="lowest of the standard days",
            whole=min(floors.whole for floors in days),
            classes=lowest_by_place([floors.classes for floors in days]),
            zones=lowest_by_place([floors.zones for floors in days]),
        )

    def floors_of(self, day: str) -> Floors:
        """The floors for a day's name, such as "scale-2 --seed 7" or "mix --seed 8"."""
        label = day.split(" --seed ")[0]
        return self.days.get(label) or self.lowest_floors()


@dataclass(frozen=True)
class PlayedDay:
    """One day as it was played: shares of worth by part, and what the bench itself found."""

    source: str
    name: str
    served: float
    unserved: float
    by_class: tuple[float | None, ...]
    by_zone: tuple[float | None, ...]
    score: float | None = None
    rules: dict[str, int] = field(default_factory=dict)
    fault: str | None = None
    short: tuple[str, ...] = ()


@dataclass(frozen=True)
class Record:
    """What one entry or report tells: its days, and how many days the bench gave up and so left out."""

    source: str
    site: str
    days: tuple[PlayedDay, ...]
    left_out: int = 0


@dataclass(frozen=True)
class Margin:
    """How far one part of a day lies above its floor (below it, if negative)."""

    day: PlayedDay
    place: str
    value: float
    floor: float
    floor_of: str

    @property
    def room(self) -> float:
        return self.value - self.floor


@dataclass(frozen=True)
class Shortfall:
    """Something for which a day doesn't pass, in words."""

    source: str
    day: str
    text: str


def lowest_by_place(lists: list[tuple[float, ...]]) -> tuple[float, ...]:
    """The lowest figure of each place; a list of one figure holds for all places."""
    present = [figures for figures in lists if figures]
    length = max((len(figures) for figures in present), default=0)
    return tuple(min(figure_at(figures, place) for figures in present) for place in range(length))


def figure_at(figures: tuple[float, ...], place: int) -> float:
    """The figure of a place; the last one holds for the places after it."""
    return figures[min(place, len(figures) - 1)]


def floors_of_table(day: dict) -> Floors:
    return Floors(
        day=day["name"],
        whole=day["goal"]["floor"],
        classes=tuple(day.get("floor_classes", ())),
        zones=tuple(day.get("floor_zones", ())),
    )


def read_site(path: Path) -> Site:
    """Reads a site file. Raises Unreadable if it isn't one."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        return Site(
            name=table["name"],
            classes=tuple(one["name"] for one in table["classes"]),
            zones=tuple(one["zone"] for one in table["traffic"]),
            days={day["name"]: floors_of_table(day) for day in table["day"]},
        )
    except (OSError, ValueError, KeyError, TypeError) as problem:
        raise Unreadable(f"{path} isn't a site file: {problem!r}") from problem


def site_files(places: list[Path]) -> list[Path]:
    """The site files among files and folders (with their folders): TOML files with standard days."""
    files = []
    for place in places:
        found = sorted(place.rglob("*.toml")) if place.is_dir() else [place]
        files += [file for file in found if "\n[[day]]" in file.read_text(encoding="utf-8")]
    return files


def read_sites(places: list[Path]) -> dict[str, Site]:
    sites = (read_site(file) for file in site_files(places))
    return {site.name: site for site in sites}


def day_of_entry(source: str, day: dict) -> PlayedDay:
    """A day as an entry of the journal holds it."""
    return PlayedDay(
        source=source,
        name=day["name"],
        served=day["served"],
        unserved=day["refused"] + day["failed"],
        by_class=tuple(day["by_class"]),
        by_zone=tuple(day["by_zone"]),
        score=day["score"],
        rules=day["rules"],
        fault=day["fault"],
        short=tuple(day["short"]),
    )


def day_of_report(source: str, name: str, report: dict) -> PlayedDay:
    """A day as `run --report` writes it; the report doesn't hold the day's name."""
    return PlayedDay(
        source=source,
        name=name,
        served=report["served"],
        unserved=report["unserved"],
        by_class=tuple(report["by_class"]),
        by_zone=tuple(report["by_zone"]),
        rules=report["breaks"],
        fault=report["fault"],
        short=tuple(report["short"]),
    )


def part_name(kind: str, names: tuple[str, ...], place: int) -> str:
    return f"{kind} {names[place]}" if place < len(names) else f"{kind} number {place + 1}"


def margins_of_parts(
    day: PlayedDay, floors: Floors, kind: str, names: tuple[str, ...], values: tuple[float | None, ...], least: tuple[float, ...]
) -> list[Margin]:
    """The margins of the classes or zones that are large enough to have a floor."""
    if not least:
        return []
    return [
        Margin(day, part_name(kind, names, place), value, figure_at(least, place), floors.day)
        for place, value in enumerate(values)
        if value is not None
    ]


def margins_of(site: Site, day: PlayedDay) -> list[Margin]:
    """All margins of a day: whole, classes, zones."""
    floors = site.floors_of(day.name)
    whole = Margin(day, WHOLE_DAY, day.served, floors.whole, floors.day)
    classes = margins_of_parts(day, floors, "class", site.classes, day.by_class, floors.classes)
    zones = margins_of_parts(day, floors, "zone", site.zones, day.by_zone, floors.zones)
    return [whole, *classes, *zones]


def shortfalls_of(site: Site, day: PlayedDay) -> list[Shortfall]:
    """All for which a day doesn't pass."""
    texts = [f"rule {rule} broken {count} times" for rule, count in day.rules.items()]
    if day.fault:
        texts.append(f"fault: {day.fault}")
    if day.unserved > MOST_UNSERVED:
        texts.append(f"refused and failed: {day.unserved:.3f}, at most {MOST_UNSERVED}")
    for margin in margins_of(site, day):
        if margin.room < 0:
            texts.append(f"{margin.place}: {margin.value:.3f}, the floor is {margin.floor:.3f} ({margin.floor_of})")
    texts += [f"the bench: {text}" for text in day.short]
    return [Shortfall(day.source, day.name, text) for text in texts]


def find_entry(journal: Path, word: str) -> Path:
    """The file that a word of the command line means: a path, or the ID of an entry of the journal."""
    path = Path(word)
    if path.is_file():
        return path
    found = sorted(journal.glob(f"*-{word}.json"))
    if len(found) != 1:
        raise Unreadable(f"{word} is neither a file nor one entry of {journal}")
    return found[0]


def read_record(path: Path, site: str | None, day: str) -> Record:
    """An entry of the journal, or a report of the site and day that the command line names."""
    try:
        content = json.loads(path.read_text(encoding="utf-8"))
        if "days" in content:
            if not content["ok"]:
                raise Unreadable(f"{path.name} has no days: {str(content['error']).splitlines()[0]}")
            days = tuple(day_of_entry(content["id"], one) for one in content["days"])
            return Record(content["id"], content["site"], days, content["days_left_out"])
        if site is None:
            raise Unreadable(f"{path} is a report: --site must name its deployment")
        return Record(path.name, site, (day_of_report(path.name, day, content),))
    except (OSError, ValueError, KeyError, TypeError) as problem:
        raise Unreadable(f"{path} is neither an entry nor a report: {problem!r}") from problem


def print_shortfalls(shortfalls: list[Shortfall]) -> None:
    for shortfall in shortfalls:
        print(f"SHORT  {shortfall.source}  {shortfall.day}: {shortfall.text}")


def print_lowest(site: Site, days: list[PlayedDay], rows: int) -> None:
    """The parts of a site's days that lie nearest to their floors, lowest first."""
    margins = sorted((margin for day in days for margin in margins_of(site, day)), key=lambda margin: margin.room)
    print(f"\n{site.name}: {len(days)} days, the lowest margins")
    print(f"{'margin':>7} {'value':>6} {'floor':>6}  {'place':<24} day")
    for margin in margins[:rows]:
        print(
            f"{margin.room:>7.3f} {margin.value:>6.3f} {margin.floor:>6.3f}  {margin.place:<24}"
            f" {margin.day.name} ({margin.day.source}; floors: {margin.floor_of})"
        )
    worst = max(days, key=lambda day: day.unserved)
    print(f"most refused and failed: {worst.unserved:.3f} of {MOST_UNSERVED}, {worst.name} ({worst.source})")
    scored = [day for day in days if day.score is not None]
    if scored:
        lowest = min(scored, key=lambda day: day.score)
        mean = sum(day.score for day in scored) / len(scored)
        print(f"score: mean {mean:.3f}, lowest {lowest.score:.3f}, {lowest.name} ({lowest.source})")


def parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("entries", nargs="+", help="entries of the journal (files or IDs) or files of run --report")
    parser.add_argument("--sites", type=Path, action="append", required=True, help="a site file, or a folder with site files; may be repeated")
    parser.add_argument("--journal", type=Path, default=Path("journal"), help="where IDs are looked up (default: journal)")
    parser.add_argument("--site", help="for reports: the name of the deployment")
    parser.add_argument("--day", default="own", help="for reports: the day's name (default: a day of one's own)")
    parser.add_argument("--rows", type=int, default=10, help="rows of the table of lowest margins (default: 10)")
    return parser.parse_args(arguments)


def read_records(options: argparse.Namespace, sites: dict[str, Site]) -> list[Record]:
    """All that the command line names. Raises Unreadable for what isn't there or has no site file."""
    records = [read_record(find_entry(options.journal, word), options.site, options.day) for word in options.entries]
    unknown = sorted({record.site for record in records} - set(sites))
    if unknown:
        raise Unreadable(f"no site file for {', '.join(unknown)}")
    return records


def shortfalls_of_record(site: Site, record: Record) -> list[Shortfall]:
    """What is short in all days; days that were given up count as short, for nobody saw how they end."""
    found = [shortfall for day in record.days for shortfall in shortfalls_of(site, day)]
    if record.left_out:
        found.append(Shortfall(record.source, "left out", f"{record.left_out} days were given up"))
    return found


def main(arguments: list[str] | None = None) -> int:
    options = parse_arguments(arguments)
    try:
        sites = read_sites(options.sites)
        records = read_records(options, sites)
    except (Unreadable, OSError) as problem:
        print(f"floors: {problem}", file=sys.stderr)
        return 2
    shortfalls = [shortfall for record in records for shortfall in shortfalls_of_record(sites[record.site], record)]
    print_shortfalls(shortfalls)
    for name in sorted({record.site for record in records}):
        days = [day for record in records if record.site == name for day in record.days]
        if days:
            print_lowest(sites[name], days, options.rows)
    print(f"\n{sum(len(record.days) for record in records)} days, {len(shortfalls)} shortfalls")
    return 1 if shortfalls else 0


if __name__ == "__main__":
    sys.exit(main())
