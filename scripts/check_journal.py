#!/usr/bin/env python3
"""Checks that each drawn day of the journal on which a rule broke can be played again.

Such a day is known by its token alone, which lies beside the journal. Usage: check_journal.py [JOURNAL]
"""

import json
import pathlib
import re
import sys

DRAWN_DAY = re.compile(r"(hunt|fresh)-[0-9a-f]{4}(-\d+)?")
# Days whose token was not kept before this check existed. The list does not grow.
LOST = {"hunt-cb37-7"}


def missing_tokens(journal):
    """Returns a sorted list of (entry file name, day) for days without a token."""
    missing = set()
    for path in journal.glob("*.json"):
        entry = json.loads(path.read_text(encoding="utf-8"))
        for day in entry.get("days") or []:
            name = day.get("name") or ""
            token = journal / "incidents" / f"{name}.token"
            if day.get("rules") and DRAWN_DAY.fullmatch(name) and not token.exists():
                missing.add((path.name, name))
    return sorted(each for each in missing if each[1] not in LOST)


def main():
    journal = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "journal")
    missing = missing_tokens(journal)
    for entry, day in missing:
        print(f"{journal}/{entry}: no {journal}/incidents/{day}.token", file=sys.stderr)
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
