#!/usr/bin/env python3
"""Summarizes the `request` lines of daemons' logs, read from standard input.

One row for each status, reason and second range: how many requests ended so,
how long they took, and how many attempts were made.
"""

import collections
import re
import sys

FIELD = re.compile(r"(\w+)=(\S+)")


def read(lines):
    for line in lines:
        if " request " not in line:
            continue
        fields = dict(FIELD.findall(line))
        if "ms" in fields:  # A line may have been cut by whoever kept it.
            yield fields


def main():
    rows = collections.defaultdict(list)
    for fields in read(sys.stdin):
        key = (fields.get("service"), fields.get("status"), fields.get("reason"))
        rows[key].append((int(fields["ms"]), int(fields["attempts"])))
    print(f"{'service':<12}{'status':<8}{'reason':<22}{'n':>7}{'mean ms':>9}"
          f"{'p90 ms':>9}{'attempts':>10}")
    for (service, status, reason), found in sorted(
            rows.items(), key=lambda item: -len(item[1])):
        times = sorted(ms for ms, _ in found)
        attempts = sum(count for _, count in found) / len(found)
        print(f"{service:<12}{status:<8}{reason:<22}{len(found):>7}"
              f"{sum(times) / len(times):>9.0f}"
              f"{times[int(len(times) * 0.9)]:>9}{attempts:>10.1f}")


if __name__ == "__main__":
    main()
