#!/usr/bin/env python3
"""Draws one column of a CSV file over another as SVG, with the fitted slope.

Usage: plot_slopes.py CSV X_COLUMN Y_COLUMN SVG [FILTER_COLUMN=VALUE]
"""
import csv
import sys

WIDTH, HEIGHT, MARGIN = 480, 320, 60


def read_points(path, x_column, y_column, condition):
    with open(path, newline="") as file:
        rows = list(csv.DictReader(file))
    if condition:
        column, value = condition.split("=", 1)
        rows = [row for row in rows if row[column] == value]
    return [(float(row[x_column]), float(row[y_column])) for row in rows]


def fit(points):
    """Least squares; returns slope and intercept."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def draw(points, x_column, y_column):
    slope, intercept = fit(points)
    max_x = max(x for x, _ in points) or 1
    max_y = max(max(y for _, y in points), slope * max_x + intercept) or 1

    def place(x, y):
        return (MARGIN + x / max_x * (WIDTH - 2 * MARGIN),
                HEIGHT - MARGIN - max(y, 0) / max_y * (HEIGHT - 2 * MARGIN))

    x1, y1 = place(0, intercept)
    x2, y2 = place(max_x, slope * max_x + intercept)
    left, bottom = place(0, 0)
    right, top = place(max_x, max_y)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
             'font-family="sans-serif" font-size="12">',
             f'<path d="M{left} {top}V{bottom}H{right}" fill="none" stroke="black"/>',
             f'<line x1="{x1}" y1="{y1}" x2="{x2}" y2="{y2}" stroke="grey"/>']
    for x, y in points:
        px, py = place(x, y)
        parts.append(f'<circle cx="{px}" cy="{py}" r="4" fill="steelblue"/>')
    parts += [f'<text x="{left}" y="{top - 20}">{y_column}: {slope:.4g} per unit of {x_column}, '
              f'{intercept:.4g} at zero</text>',
              f'<text x="{left - 10}" y="{top + 4}" text-anchor="end">{max_y:.4g}</text>',
              f'<text x="{right}" y="{bottom + 18}" text-anchor="end">{max_x:g}</text>',
              f'<text x="{(left + right) / 2}" y="{bottom + 38}" text-anchor="middle">{x_column}'
              '</text>', "</svg>"]
    return "\n".join(parts) + "\n"


def main():
    path, x_column, y_column, target, *rest = sys.argv[1:]
    points = read_points(path, x_column, y_column, rest[0] if rest else "")
    with open(target, "w") as file:
        file.write(draw(points, x_column, y_column))


if __name__ == "__main__":
    main()
