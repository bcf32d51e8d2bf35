#!/usr/bin/env python3
"""Draws detection time against false ejections over the evidence threshold as SVG.

Reads the CSV that `detection_experiment --sweep` writes. A point is one business and threshold:
x is the 90th percentile of the detection time in the slow-server scenario, y is the number of
false ejections per hour of healthy load.

Usage: plot_tradeoff.py SWEEP_CSV HEALTHY_SECONDS OUTPUT_SVG
"""
import csv
import sys

WIDTH, HEIGHT, LEFT, BOTTOM, RIGHT, TOP = 760, 460, 70, 60, 30, 40
COLOURS = {"tetteh": "#1b6ca8", "cista-pipa": "#b3541e"}
SLOW_SCENARIO = "slow_4"


def read_points(path, healthy_seconds):
    """Returns {business: [(threshold, detection in ms, false ejections per hour)]}."""
    detection, rates = {}, {}
    with open(path, newline="") as table:
        for row in csv.DictReader(table):
            key = (row["business"], float(row["threshold"]))
            if row["scenario"] == SLOW_SCENARIO and row["detection_p90"].isdigit():
                detection[key] = int(row["detection_p90"])
            elif row["scenario"] == "healthy":
                hours = int(row["runs"]) * healthy_seconds / 3600
                rates[key] = int(row["false_ejections"]) / hours
    points = {}
    for key in sorted(detection.keys() & rates.keys()):
        points.setdefault(key[0], []).append((key[1], detection[key], rates[key]))
    return points


def scale(value, greatest, start, end):
    return start + (end - start) * value / greatest


def axis_ticks(greatest, count=5):
    return [greatest * index / count for index in range(count + 1)]


def draw(points):
    every = [point for series in points.values() for point in series]
    most_time = max(point[1] for point in every) * 1.1
    most_rate = max(max(point[2] for point in every) * 1.1, 1)

    def x(value):
        return scale(value, most_time, LEFT, WIDTH - RIGHT)

    def y(value):
        return scale(value, most_rate, HEIGHT - BOTTOM, TOP)

    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{LEFT}" y="22" font-size="14">Detection time against false ejections, '
        'by evidence threshold</text>',
    ]
    for tick in axis_ticks(most_time):
        lines.append(f'<line x1="{x(tick):.1f}" y1="{TOP}" x2="{x(tick):.1f}" '
                     f'y2="{HEIGHT - BOTTOM}" stroke="#ddd"/>')
        lines.append(f'<text x="{x(tick):.1f}" y="{HEIGHT - BOTTOM + 18}" '
                     f'text-anchor="middle">{tick:.0f}</text>')
    for tick in axis_ticks(most_rate):
        lines.append(f'<line x1="{LEFT}" y1="{y(tick):.1f}" x2="{WIDTH - RIGHT}" '
                     f'y2="{y(tick):.1f}" stroke="#ddd"/>')
        lines.append(f'<text x="{LEFT - 8}" y="{y(tick) + 4:.1f}" '
                     f'text-anchor="end">{tick:.1f}</text>')
    lines.append(f'<text x="{(LEFT + WIDTH) / 2}" y="{HEIGHT - 16}" text-anchor="middle">'
                 'detection time, 90th percentile (ms), server 4 times slower</text>')
    lines.append(f'<text transform="translate(18 {HEIGHT / 2}) rotate(-90)" '
                 'text-anchor="middle">false ejections per healthy hour</text>')
    for number, (business, series) in enumerate(points.items()):
        colour = COLOURS.get(business, "#444")
        path = " ".join(f"{x(point[1]):.1f},{y(point[2]):.1f}" for point in series)
        lines.append(f'<polyline points="{path}" fill="none" stroke="{colour}"/>')
        for threshold, time, rate in series:
            lines.append(f'<circle cx="{x(time):.1f}" cy="{y(rate):.1f}" r="4" fill="{colour}"/>')
            lines.append(f'<text x="{x(time) + 6:.1f}" y="{y(rate) - 6:.1f}" '
                         f'fill="{colour}">{threshold:g}</text>')
        lines.append(f'<text x="{WIDTH - RIGHT - 130}" y="{TOP + 20 + 18 * number}" '
                     f'fill="{colour}">{business}</text>')
    lines.append("</svg>")
    return "\n".join(lines) + "\n"


def main():
    if len(sys.argv) != 4:
        sys.exit(__doc__)
    points = read_points(sys.argv[1], float(sys.argv[2]))
    if not points:
        sys.exit(f"{sys.argv[1]}: no threshold has both a {SLOW_SCENARIO} and a healthy row")
    with open(sys.argv[3], "w") as output:
        output.write(draw(points))


if __name__ == "__main__":
    main()
