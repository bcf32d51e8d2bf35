#!/usr/bin/env python3
"""Tests of scripts/check_journal.py."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "check_journal.py"


class CheckJournalTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.journal = pathlib.Path(folder.name)
        (self.journal / "incidents").mkdir()

    def write_entry(self, days):
        (self.journal / "entry.json").write_text(json.dumps({"days": days}), encoding="utf-8")

    def check(self):
        return subprocess.run([sys.executable, SCRIPT, self.journal], capture_output=True, text=True,
                              check=False)

    def test_names_a_broken_day_without_its_token(self):
        # Guards against a finding that can't be played again, as hunt-cb37-7 was.
        self.write_entry([{"name": "hunt-12ab-7", "rules": {"FLOOR": 1}}])
        result = self.check()
        self.assertEqual(result.returncode, 1)
        self.assertIn("hunt-12ab-7", result.stderr)

    def test_accepts_a_broken_day_with_its_token(self):
        self.write_entry([{"name": "fresh-12ab", "rules": {"FLOOR": 1}}])
        (self.journal / "incidents" / "fresh-12ab.token").write_text("token", encoding="utf-8")
        self.assertEqual(self.check().returncode, 0)

    def test_asks_nothing_of_days_that_need_no_token(self):
        # Standard days are known by name and seed, and days without a finding are not played again.
        self.write_entry([{"name": "trouble-1 --seed 5", "rules": {"FLOOR": 1}},
                          {"name": "hunt-12ab-8", "rules": {}}])
        self.assertEqual(self.check().returncode, 0)


if __name__ == "__main__":
    unittest.main()
