#!/usr/bin/env python3
"""Tests of drawn_days.py and day_kinds.py: what is drawn, and what a played day is judged by. A made-up bench plays."""

import contextlib
import io
import json
import random
import re
import tempfile
import textwrap
import tomllib
import unittest
from pathlib import Path

import drawn_days
from day_kinds import KINDS, Scene, draw_entry, kinds_of_listing

SITE = """
name = "harbour"
length_s = 30.0
classes = [{ name = "quote" }, { name = "bulk" }]
traffic = [{ zone = "east" }, { zone = "west" }]

[[day]]
name = "calm-1"
goal = { floor = 0.5 }
floor_classes = [0.45]
floor_zones = [0.48]
"""

LISTING = """Each entry has 'at' and 'kind'. for_s: how long (5).
closing = { kind = power_off_all }

burst: x times the traffic
node_kill: share (.1) of the machines: SIGKILL; how: power

these may come too:
clock_step: the time of day jumps
config_change: how: route weights
"""

# Plays days as the bench does: the seed that ends in 1 breaks a rule, the one that ends in 2 earns too little.
MADE_UP_BENCH = """\
#!/usr/bin/env python3
import json, sys
verb = sys.argv[1]
if verb == "kinds":
    print(open(__file__ + ".kinds").read())
if verb == "run":
    seed = sys.argv[sys.argv.index("--seed") + 1]
    served = 0.3 if seed.endswith("2") else 0.9
    report = {"served": served, "unserved": 0.0, "by_class": [served, None], "by_zone": [0.9, 0.8], "fault": None, "short": []}
    report["breaks"] = {"ORDER": 3} if seed.endswith("1") else {}
    report["first"] = ["ORDER at 9 s: too early"] if seed.endswith("1") else []
    report["times"] = {"config acked": [20, 900]}
    if not seed.endswith("4"):
        json.dump(report, open(sys.argv[sys.argv.index("--report") + 1], "w"))
"""

SCENE = Scene(length_s=30.0, classes=("quote", "bulk"), zones=("east", "west"))
ALL_KINDS = list(KINDS)


def drawn(seed: int, forced: tuple[str, ...] = ()) -> drawn_days.DrawnDay:
    return drawn_days.draw_day(seed, ALL_KINDS, SCENE, list(forced))


class DrawingTest(unittest.TestCase):
    def test_a_seed_gives_the_same_day_again(self) -> None:
        self.assertEqual(drawn(7).to_toml(), drawn(7).to_toml())
        self.assertNotEqual(drawn(7).to_toml(), drawn(8).to_toml())

    def test_days_have_their_numbers_of_entries_at_moments_of_the_traffic(self) -> None:
        for seed in range(300):
            day = tomllib.loads(drawn(seed).to_toml())["day"][0]
            self.assertIn(len(day["faults"]), range(4, 9))
            self.assertIn(len(day["plan"]), range(3, 7))
            for entry in day["faults"] + day["plan"]:
                self.assertTrue(0 <= entry["at"] <= 30.0)

    def test_a_third_of_the_days_have_a_closing_fault(self) -> None:
        closings = sum(drawn(seed).closing is not None for seed in range(900))
        self.assertTrue(250 < closings < 350, closings)

    def test_every_kind_comes(self) -> None:
        kinds = {entry.kind for seed in range(400) for entry in (*drawn(seed).faults, *drawn(seed).plan)}
        self.assertEqual(kinds, set(ALL_KINDS))

    def test_every_variant_comes(self) -> None:
        lot = random.Random(1)
        for ways in KINDS.values():
            for way in ways:
                words = {draw_entry(lot, way, SCENE).fields.get("how", "") for _ in range(400)}
                for how in way.hows:
                    self.assertTrue(any(str(word).startswith(how) for word in words), (way.name, how))

    def test_forced_kinds_are_in_every_day(self) -> None:
        for seed in range(50):
            day = drawn(seed, ("clock_step", "herd_kill", "roll_term"))
            self.assertLessEqual({"clock_step", "herd_kill"}, {entry.kind for entry in day.faults})
            self.assertIn("roll_term", {entry.kind for entry in day.plan})

    def test_the_listing_is_read_by_its_names(self) -> None:
        self.assertEqual(kinds_of_listing(LISTING), ["burst", "node_kill", "clock_step", "config_change"])


class PlayingTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.site = self.folder / "harbour.toml"
        self.site.write_text(SITE)
        self.bench = self.folder / "bench"
        self.bench.write_text(textwrap.dedent(MADE_UP_BENCH))
        self.bench.chmod(0o755)
        self.write_listing(LISTING)

    def write_listing(self, listing: str) -> None:
        Path(f"{self.bench}.kinds").write_text(listing)

    def run_tool(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        fixed = [str(self.site), "--bench", str(self.bench), "--folder", str(self.folder / "out")]
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            status = drawn_days.main([*fixed, *arguments])
        return status, output.getvalue()

    def test_good_days_pass_and_keep_their_reports(self) -> None:
        status, output = self.run_tool("--first-seed", "5", "--days", "3", "--at-once", "2")
        self.assertEqual(status, 0, output)
        self.assertIn("3 days, 0 broke a rule or fell short, 0 not played", output)
        files = {path.name for path in (self.folder / "out" / "harbour").iterdir()}
        self.assertLessEqual({"drawn-5.toml", "drawn-5.json", "drawn-5.txt", "drawn-7.json"}, files)
        self.assertEqual(json.loads((self.folder / "out/harbour/drawn-5.json").read_text())["served"], 0.9)

    def test_broken_and_short_days_are_told_and_kept(self) -> None:
        status, output = self.run_tool("--first-seed", "10", "--days", "4")
        self.assertEqual(status, 1)
        self.assertRegex(output, r"11  ORDER 3 +0\.900")
        self.assertIn("rule ORDER broken 3 times", output)
        self.assertIn("ORDER at 9 s: too early", output)
        self.assertIn("whole day: 0.300, the floor is 0.500", output)
        kept = sorted(path.name for path in (self.folder / "out/harbour/kept").iterdir())
        self.assertEqual(kept, ["drawn-11.toml", "drawn-12.toml"])

    def test_a_day_without_a_report_is_not_taken_for_a_pass(self) -> None:
        status, output = self.run_tool("--first-seed", "14", "--days", "1")
        self.assertEqual(status, 2)
        self.assertIn("1 not played", output)

    def test_only_listed_kinds_are_drawn(self) -> None:
        self.assertEqual(self.run_tool("--first-seed", "5", "--days", "20", "--only-draw")[0], 0)
        texts = "".join(path.read_text() for path in (self.folder / "out/harbour").glob("*.toml"))
        kinds = set(re.findall(r'at = [0-9.]+, kind = "([a-z_]+)"', texts))
        self.assertEqual(kinds, {"burst", "node_kill", "clock_step", "config_change"})

    def test_an_unknown_kind_is_told(self) -> None:
        self.write_listing(LISTING + "comet: strikes\n")
        status, output = self.run_tool("--first-seed", "5")
        self.assertEqual(status, 2)
        self.assertIn("doesn't know comet", output)

    def test_a_drawn_first_seed_is_told(self) -> None:
        self.assertRegex(self.run_tool("--days", "1", "--only-draw")[1], r"seeds \d+ to \d+")


if __name__ == "__main__":
    unittest.main()
