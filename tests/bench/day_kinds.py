"""The kinds of trouble and planned work that a day may hold, with their variants, and how one is drawn by lot.

`fleetbench kinds SITE` tells in prose what the fields of each kind mean; `KINDS` says the same as figures to draw from.
`kinds_of_listing` reads the kinds' names out of that prose, so that a kind which isn't known here is noticed.

Example:
    entry = draw_entry(random.Random(7), KINDS["clock_step"][0], scene)
    entry.to_toml()   # { at = 12.4, kind = "clock_step", share = 0.31, x = 5900, for_s = 4.1, how = "ahead" }
"""

from __future__ import annotations

import random
import re
from dataclasses import dataclass

# Decimals of drawn figures: more would only make days harder to read.
DECIMALS = 2

# How often an entry names a zone, where its kind may; otherwise the day's seed picks.
ZONE_SHARE = 0.25

# How often each of meet, race, hard and drain follows a variant, where a kind allows them.
RETURN_SHARE = 0.2

# An entry comes at any moment of the traffic, but for its first moments (seconds).
EARLIEST_S = 0.5


@dataclass(frozen=True)
class Range:
    """Figures to draw from, both ends included; `whole` for counts."""

    low: float
    high: float
    whole: bool = False

    def draw(self, lot: random.Random) -> float:
        if self.whole:
            return lot.randint(int(self.low), int(self.high))
        return round(lot.uniform(self.low, self.high), DECIMALS)


@dataclass(frozen=True)
class Scene:
    """What a deployment has that entries may name."""

    length_s: float
    classes: tuple[str, ...]
    zones: tuple[str, ...]


@dataclass(frozen=True)
class Entry:
    """One entry of a day's `plan` or `faults`: its fields in the order in which they are written."""

    fields: dict[str, float | str]

    @property
    def kind(self) -> str:
        return str(self.fields["kind"])

    def to_toml(self) -> str:
        return "{ " + ", ".join(f"{name} = {toml_value(value)}" for name, value in self.fields.items()) + " }"


@dataclass(frozen=True)
class Kind:
    """What may be drawn for one kind. `hows` holds the variants, "" meaning none; `on` the classes of machines.

    `share` and `count` exclude each other within an entry: where both are given, the lot decides.
    `returns` says that meet, race, hard and drain may follow the variant, `extra_hows` are others that may.
    """

    name: str
    planned: bool = False
    fault: bool = True
    share: Range | None = None
    count: Range | None = None
    x: Range | None = None
    for_s: Range | None = None
    gap_s: Range | None = None
    hows: tuple[str, ...] = ("",)
    extra_hows: tuple[str, ...] = ()
    returns: bool = False
    on: tuple[str, ...] = ()
    of_class: bool = False
    in_zone: bool = False
    to_zone_how: str = ""


def toml_value(value: float | str) -> str:
    return f'"{value}"' if isinstance(value, str) else repr(value)


# Fields that many kinds share.
SHORT_WHILE = Range(1.0, 7.0)
SOME = Range(0.05, 0.4)
ONE_OR_TWO = Range(1, 2, whole=True)
MACHINES = ("", "core", "front", "side")
PICKS = ("", "turn", "leader", "reader", "seed")

_ALL_KINDS = (
    Kind("burst", x=Range(1.5, 3.0), for_s=SHORT_WHILE, of_class=True, in_zone=True),
    Kind("hot_key", share=SOME, for_s=SHORT_WHILE, of_class=True),
    Kind("give_up", share=SOME, for_s=SHORT_WHILE),
    Kind("srv_crash", share=Range(0.05, 0.25), for_s=SHORT_WHILE, hows=("", "dark", "gone", "dark gone", "across"), in_zone=True),
    Kind("srv_slow", share=SOME, x=Range(2.0, 8.0), for_s=SHORT_WHILE, hows=("", "across"), in_zone=True),
    Kind(
        "srv_grey",
        share=Range(0.05, 0.3),
        x=Range(0.2, 1.0),
        for_s=SHORT_WHILE,
        hows=("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
        in_zone=True,
        to_zone_how="one_zone",
    ),
    Kind("srv_lying_health", share=SOME, for_s=SHORT_WHILE, hows=("errors", "hang", "reset", "bad"), in_zone=True),
    Kind("srv_flap", share=SOME, for_s=SHORT_WHILE, gap_s=Range(0.3, 2.0), in_zone=True),
    Kind("srv_cut", share=SOME, x=Range(0.1, 0.5), for_s=SHORT_WHILE, hows=("", "fronts", "one_way", "reset")),
    Kind("answer_lost", share=SOME, x=Range(0.02, 0.3), for_s=SHORT_WHILE),
    Kind("scale_in", planned=True, fault=False, share=Range(0.05, 0.3)),
    Kind("scale_in", share=Range(0.05, 0.2), x=Range(0.5, 3.0), hows=("spot",)),
    Kind("node_kill", share=SOME, count=ONE_OR_TWO, for_s=SHORT_WHILE, hows=(*PICKS, "power", "leader power"), on=MACHINES, returns=True),
    Kind("node_freeze", share=Range(0.05, 0.2), count=ONE_OR_TWO, for_s=SHORT_WHILE, hows=PICKS, on=MACHINES, returns=True),
    Kind("node_slow", share=Range(0.05, 0.3), count=ONE_OR_TWO, x=Range(2.0, 8.0), for_s=SHORT_WHILE, hows=PICKS, on=MACHINES),
    Kind("herd_kill", share=Range(0.3, 1.0), for_s=Range(0.5, 3.0), hows=("", "power"), on=("", "front", "side")),
    Kind("herd_kill", share=Range(1.0, 1.0), for_s=Range(0.5, 3.0), hows=("", "power", "taken", "taken all"), on=("core",)),
    Kind(
        "roll_term",
        planned=True,
        fault=False,
        share=Range(0.2, 1.0),
        x=Range(1, 3, whole=True),
        gap_s=Range(0.5, 2.0),
        hows=("", "remove", "leader"),
        extra_hows=("busy",),
        on=MACHINES,
        returns=True,
    ),
    Kind("seed_turnover", planned=True, fault=False),
    Kind("hup", planned=True, fault=False, share=Range(0.2, 1.0), gap_s=Range(0.1, 2.0)),
    Kind("config_change", planned=True, fault=False, hows=("route", "weights", "timeout", "tenant", "quota", "idle")),
    Kind("config_race", planned=True, fault=False, count=Range(1, 8, whole=True), gap_s=Range(0.3, 2.0)),
    Kind("config_storm", planned=True, fault=False, count=Range(5, 30, whole=True), gap_s=Range(0.05, 0.5)),
    Kind("big_config", planned=True, fault=False, count=Range(200, 1400, whole=True)),
    Kind(
        "bad_config",
        planned=True,
        fault=False,
        count=Range(1, 4, whole=True),
        gap_s=Range(0.3, 1.5),
        hows=(
            "",
            "cut_short",
            "unknown_service",
            "same_place",
            "no_weight",
            "no_timeout",
            "old_version",
            "same_version",
            "stale_match",
            "shared_key",
        ),
    ),
    Kind("ack_lost", x=Range(0.3, 1.0), for_s=Range(2.0, 15.0)),
    Kind("after_ack_kill", count=ONE_OR_TWO, for_s=Range(1.0, 4.0), hows=("", "kill", "timed", "taken", "taken gone")),
    Kind("after_ack_wipe", for_s=Range(1.0, 4.0), hows=("", "kill", "timed", "taken", "oldest")),
    Kind("replace_core", x=Range(0.3, 4.0), hows=("", "oldest", "leader")),
    Kind("replace_core", planned=True, fault=False, x=Range(0.3, 4.0), hows=("planned", "planned oldest")),
    Kind(
        "core_cut",
        count=Range(1, 1, whole=True),
        for_s=Range(1.0, 20.0),
        hows=("", "leader", "turn", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "leader one_way", "leader both"),
        extra_hows=("reset", "refuse"),
        returns=True,
    ),
    Kind(
        "node_cut",
        share=SOME,
        for_s=SHORT_WHILE,
        hows=("", "all", "servers"),
        extra_hows=("reset", "refuse"),
        on=("", "front", "side"),
        returns=True,
    ),
    Kind("disk_stall", count=ONE_OR_TWO, for_s=Range(0.5, 5.0), hows=("", "leader")),
    Kind("disk_slow", count=ONE_OR_TWO, x=Range(5.0, 60.0), for_s=Range(1.0, 15.0), hows=("", "leader")),
    Kind("disk_full", count=ONE_OR_TWO, for_s=Range(0.5, 8.0), hows=("", "leader")),
    Kind("clock_step", share=Range(0.1, 0.6), x=Range(300, 6500, whole=True), for_s=Range(1.0, 10.0), hows=("", "back", "ahead")),
    Kind("reset_conns", share=Range(0.1, 1.0), x=Range(0.2, 1.0)),
    Kind("poison", share=Range(0.02, 0.1), for_s=SHORT_WHILE, of_class=True),
    Kind("applied_late", x=Range(0.02, 0.4), for_s=SHORT_WHILE, hows=("", "orders", "cloud", "grants", "all")),
)

# The ways in which a kind may be drawn, by its name: one may be planned work and a fault, with other variants each.
KINDS: dict[str, tuple[Kind, ...]] = {
    name: tuple(kind for kind in _ALL_KINDS if kind.name == name) for name in dict.fromkeys(kind.name for kind in _ALL_KINDS)
}

# A day's end: right after an acknowledgement, a change that was sent, or work that was accepted.
CLOSING_KINDS = ("power_off_all", "wipe_after_ack", "kill_all")
CLOSING_HOWS = ("", "timed", "taken", "oldest")
CLOSING_DOWN_S = Range(0.4, 2.0)


def kinds_of_listing(listing: str) -> list[str]:
    """The names of the kinds in the output of `fleetbench kinds`: each line that begins with a name and a colon."""
    return list(dict.fromkeys(re.findall(r"^([a-z_]+): ", listing, flags=re.MULTILINE)))


def draw_how(lot: random.Random, kind: Kind) -> str:
    """A variant, with what may follow it."""
    words = [lot.choice(kind.hows)]
    if kind.extra_hows and lot.random() < 0.5:
        words.append(lot.choice(kind.extra_hows))
    if kind.returns:
        words += [word for word in ("meet", "race", "hard", "drain") if lot.random() < RETURN_SHARE]
    return " ".join(word for word in words if word)


def draw_amount(lot: random.Random, kind: Kind, on: str) -> dict[str, float]:
    """How many are struck: a count for the core where the kind has one, else a share or a count."""
    ways = []
    if kind.share and not (kind.count and on == "core"):
        ways.append(("share", kind.share))
    if kind.count:
        ways.append(("count", kind.count))
    if not ways:
        return {}
    name, figures = lot.choice(ways)
    return {name: figures.draw(lot)}


def draw_place(lot: random.Random, kind: Kind, scene: Scene) -> dict[str, str]:
    """The class of requests and the zone, where the kind has them and the lot names one."""
    place = {}
    if kind.of_class and (kind.name != "burst" or lot.random() < 0.7):
        place["class"] = lot.choice(scene.classes)
    if kind.in_zone and lot.random() < ZONE_SHARE:
        place["zone"] = lot.choice(scene.zones)
    return place


def draw_entry(lot: random.Random, kind: Kind, scene: Scene) -> Entry:
    """One entry at any moment of the day's traffic, with every field that its kind has."""
    fields: dict[str, float | str] = {"at": round(lot.uniform(EARLIEST_S, scene.length_s), 1), "kind": kind.name}
    on = lot.choice(kind.on) if kind.on else ""
    if on:
        fields["on"] = on
    fields |= draw_amount(lot, kind, on)
    for name, figures in (("x", kind.x), ("for_s", kind.for_s), ("gap_s", kind.gap_s)):
        if figures:
            fields[name] = figures.draw(lot)
    fields |= draw_place(lot, kind, scene)
    how = draw_how(lot, kind)
    if kind.to_zone_how and lot.random() < ZONE_SHARE:
        how = f"{how} {kind.to_zone_how}"
        fields["to_zone"] = lot.choice(scene.zones)
    if how:
        fields["how"] = how
    return Entry(fields)
