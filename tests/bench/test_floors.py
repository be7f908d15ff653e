#!/usr/bin/env python3
"""Tests of floors.py on a small made-up site and made-up entries; they need neither the bench nor its kit."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

import floors

SITE = """
name = "harbour"
classes = [{ name = "quote" }, { name = "bulk" }, { name = "rare" }]
traffic = [{ zone = "east" }, { zone = "west" }]

[[day]]
name = "calm-1"
goal = { floor = 0.5 }
floor_classes = [0.45, 0.4, 0.4]
floor_zones = [0.48]

[[day]]
name = "storm-1"
goal = { floor = 0.4 }
floor_classes = [0.46]
floor_zones = [0.38]
"""


def entry_day(**changes) -> dict:
    """A day of an entry that passes, with changes."""
    day = {
        "name": "calm-1 --seed 7",
        "served": 0.9,
        "refused": 0.02,
        "failed": 0.01,
        "by_class": [0.8, 0.9, None],
        "by_zone": [0.9, 0.9],
        "score": 0.7,
        "rules": {},
        "fault": None,
        "short": [],
    }
    return day | changes


def report(**changes) -> dict:
    """A report of `run --report` that passes, with changes."""
    content = {"served": 0.9, "unserved": 0.03, "by_class": [0.8, 0.9, None], "by_zone": [0.9, 0.9]}
    return content | {"breaks": {}, "fault": None, "short": []} | changes


class FloorsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "harbour.toml").write_text(SITE)
        (self.folder / "other.toml").write_text("a = 1\n")

    def write(self, name: str, content: dict) -> str:
        path = self.folder / name
        path.write_text(json.dumps(content))
        return str(path)

    def write_entry(self, *days: dict, **changes) -> str:
        entry = {"id": "ab12", "site": "harbour", "ok": True, "error": None, "days": list(days), "days_left_out": 0}
        return self.write("20260101T000000-ab12.json", entry | changes)

    def run_tool(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            status = floors.main(["--sites", str(self.folder), *arguments])
        return status, output.getvalue()

    def assert_short(self, text: str, **changes) -> None:
        status, output = self.run_tool(self.write_entry(entry_day(**changes)))
        self.assertEqual(status, 1, output)
        self.assertIn(text, output)

    def test_a_day_above_its_floors_passes(self) -> None:
        status, output = self.run_tool(self.write_entry(entry_day()))
        self.assertEqual(status, 0, output)
        self.assertIn("1 days, 0 shortfalls", output)

    def test_a_figure_at_its_floor_passes(self) -> None:
        status, _ = self.run_tool(self.write_entry(entry_day(served=0.5, by_class=[0.45, 0.4, 0.4])))
        self.assertEqual(status, 0)

    def test_whole_day(self) -> None:
        self.assert_short("whole day: 0.499, the floor is 0.500 (calm-1)", served=0.499)

    def test_class_with_its_own_floor(self) -> None:
        self.assert_short("class bulk: 0.390, the floor is 0.400 (calm-1)", by_class=[0.8, 0.39, None])

    def test_zones_share_one_floor(self) -> None:
        self.assert_short("zone west: 0.470, the floor is 0.480 (calm-1)", by_zone=[0.9, 0.47])

    def test_small_parts_have_no_floor(self) -> None:
        status, _ = self.run_tool(self.write_entry(entry_day(by_class=[0.8, None, None], by_zone=[None, 0.9])))
        self.assertEqual(status, 0)

    def test_mix_is_held_against_the_lowest_floors(self) -> None:
        mix = {"name": "mix --seed 9"}
        status, _ = self.run_tool(self.write_entry(entry_day(served=0.41, by_class=[0.45, 0.4, 0.4], by_zone=[0.38, 0.4], **mix)))
        self.assertEqual(status, 0)
        self.assert_short("whole day: 0.390, the floor is 0.400 (lowest of the standard days)", served=0.39, **mix)
        self.assert_short("class rare: 0.390, the floor is 0.400", by_class=[0.8, 0.8, 0.39], **mix)

    def test_refused_and_failed_count_together(self) -> None:
        self.assert_short("refused and failed: 0.610", refused=0.31, failed=0.3)

    def test_rules_and_faults(self) -> None:
        self.assert_short("rule LOST broken 2 times", rules={"LOST": 2})
        self.assert_short("fault: no request was served", fault="no request was served")

    def test_what_the_bench_found_is_told_word_for_word(self) -> None:
        text = "of the largest tenth of bulk 0.12 were served, of all 0.28"
        self.assert_short("the bench: " + text, short=[text])

    def test_reports(self) -> None:
        path = self.write("report.json", report(by_zone=[0.4, 0.9]))
        status, output = self.run_tool(path, "--site", "harbour", "--day", "calm-1")
        self.assertEqual(status, 1)
        self.assertIn("zone east: 0.400, the floor is 0.480 (calm-1)", output)
        self.assertEqual(self.run_tool(path, "--site", "harbour")[0], 0)
        self.assertEqual(self.run_tool(path)[0], 2)

    def test_an_entry_is_found_by_its_id(self) -> None:
        self.write_entry(entry_day())
        self.assertEqual(self.run_tool("ab12", "--journal", str(self.folder))[0], 0)
        self.assertEqual(self.run_tool("cd34", "--journal", str(self.folder))[0], 2)

    def test_a_run_without_days_is_not_taken_for_a_pass(self) -> None:
        status, output = self.run_tool(self.write_entry(ok=False, error="the build failed:\nmore"))
        self.assertEqual(status, 2)
        self.assertIn("the build failed", output)

    def test_days_that_were_given_up_are_short(self) -> None:
        status, output = self.run_tool(self.write_entry(entry_day(), days_left_out=2))
        self.assertEqual(status, 1)
        self.assertIn("2 days were given up", output)

    def test_an_unknown_site_is_told(self) -> None:
        status, output = self.run_tool(self.write_entry(entry_day(), site="elsewhere"))
        self.assertEqual(status, 2)
        self.assertIn("no site file for elsewhere", output)

    def test_the_lowest_margins_come_first(self) -> None:
        path = self.write_entry(entry_day(by_zone=[0.49, 0.9]), entry_day(name="storm-1", served=0.45))
        status, output = self.run_tool(path, "--rows", "1")
        self.assertEqual(status, 0)
        self.assertIn("  0.010  0.490  0.480  zone east", output)
        self.assertNotIn("zone west", output)


if __name__ == "__main__":
    unittest.main()
