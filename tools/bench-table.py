#!/usr/bin/env python3
"""Prints a table of the days in entries of the bench's journal, one line an entry.

Usage: tools/bench-table.py [--plot FILE.svg] ENTRY.json...

For each entry: the mean worth of its days with trouble, or of all days of a hunt, the
mean of the worst tenth, the least day, the mean of each part of the worth, the mean of
the prices, and how many days broke a rule. Left out are quiet days, and the day that a
score draws anew. The plot shows the
worth of each day, sorted, one curve an entry.
"""
import argparse
import json
import pathlib
import sys

PARTS = ["whole day", "worst windows", "worst class", "worst zone"]
COLORS = ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"]
WIDTH, HEIGHT, MARGIN = 640, 360, 40
LOWEST_WORTH = 0.7


def days_of(entry):
    """Days with a worth that are not quiet and, in a score, not drawn anew."""
    is_drawn = entry.get("cmd") == "score"
    return [
        day
        for day in entry.get("days") or []
        if day.get("G") is not None
        and day.get("slot") != "quiet"
        and not (is_drawn and day["name"].startswith("fresh-"))
    ]


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else float("nan")


def part(day, name):
    """One part of a day's worth, from 0 to 1."""
    return next((row[2] for row in day["parts"] if row[0] == name), float("nan"))


def price(day):
    """What is taken off the weighted parts of a day."""
    return sum(row[1] * row[2] for row in day["parts"]) - day["G"]


def line_of(entry):
    days = days_of(entry)
    worth = sorted(day["G"] for day in days)
    worst = worth[: max(1, len(worth) // 10)]
    broken = sum(1 for day in days if day.get("rules") or day.get("fault"))
    figures = [mean(worth), mean(worst), worth[0]]
    figures += [mean(part(day, name) for day in days) for name in PARTS]
    figures.append(mean(price(day) for day in days))
    return " ".join(
        [f"{entry['id']} {entry['cmd']:6} {entry['site']:22} {len(days):4}"]
        + [f"{figure:6.3f}" for figure in figures]
        + [f"{broken:6}"]
    )


def plot(entries, path):
    def point(index, count, worth):
        x = MARGIN + (WIDTH - 2 * MARGIN) * index / max(1, count - 1)
        share = (worth - LOWEST_WORTH) / (1 - LOWEST_WORTH)
        return f"{x:.1f},{HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * share:.1f}"

    rows = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}"'
            ' font-family="sans-serif" font-size="11">',
            '<rect width="100%" height="100%" fill="white"/>']
    for step in range(7):
        worth = LOWEST_WORTH + step * 0.05
        left, right = point(0, 2, worth), point(1, 2, worth)
        rows.append(f'<polyline points="{left} {right}" stroke="#ddd"/>')
        y = left.split(",")[1]
        rows.append(f'<text x="6" y="{y}">{worth:.2f}</text>')
    for index, entry in enumerate(entries):
        worth = sorted(day["G"] for day in days_of(entry))
        color = COLORS[index % len(COLORS)]
        points = " ".join(point(i, len(worth), w) for i, w in enumerate(worth))
        rows.append(f'<polyline points="{points}" fill="none" stroke="{color}"/>')
        y = MARGIN + 14 * index
        rows.append(f'<text x="{WIDTH - 250}" y="{HEIGHT - MARGIN - y}" fill="{color}">'
                    f"{entry['site']} {entry['cmd']} {entry['id']}</text>")
    rows.append("</svg>")
    pathlib.Path(path).write_text("\n".join(rows) + "\n", encoding="utf-8")


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--plot", metavar="FILE.svg")
    parser.add_argument("entries", nargs="+", metavar="ENTRY.json")
    arguments = parser.parse_args()
    entries = []
    for path in arguments.entries:
        try:
            entry = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        except (OSError, ValueError) as problem:
            sys.exit(f"{path}: {problem}")
        if days_of(entry):
            entries.append(entry)
    if not entries:
        sys.exit("no entry has days with trouble")
    print("entry    verb   site                   days  mean  tenth  least"
          "   day    win    class   zone prices broken")
    for entry in entries:
        print(line_of(entry))
    if arguments.plot:
        plot(entries, arguments.plot)


if __name__ == "__main__":
    main()
