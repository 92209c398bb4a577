#!/usr/bin/env python3
"""Draws docs/capacity-*.svg from results/capacity_*.csv with the standard library alone."""

import csv
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
WIDTH, HEIGHT = 640, 400
LEFT, RIGHT, TOP, BOTTOM = 70, 170, 40, 50
COLOURS = ["#1b6ca8", "#c8553d", "#4f7f3f", "#7a4fa3", "#a67c00", "#444444"]


def read(name):
    with open(ROOT / "results" / f"{name}.csv", newline="") as file:
        return [
            {key: float(value) for key, value in row.items() if is_number(value)}
            for row in csv.DictReader(file)
        ]


def is_number(text):
    try:
        float(text)
    except ValueError:
        return False
    return True


def mean_by_x(points):
    """Means of the values of repeated measurements."""
    values = {}
    for x, y in points:
        values.setdefault(x, []).append(y)
    return sorted((x, sum(ys) / len(ys)) for x, ys in values.items())


def plot(path, title, x_label, y_label, series, limits):
    """Draws each series as points joined by lines, and each limit as a dashed line."""
    series = [(name, mean_by_x(points)) for name, points in series]
    x_max = max(x for _, points in series for x, _ in points) * 1.05
    y_max = max([y for _, points in series for _, y in points] + [y for _, y in limits]) * 1.1
    right, bottom = WIDTH - RIGHT, HEIGHT - BOTTOM

    def at(x, y):
        return LEFT + x / x_max * (right - LEFT), bottom - y / y_max * (bottom - TOP)

    out = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        f'viewBox="0 0 {WIDTH} {HEIGHT}" font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{LEFT}" y="22" font-size="14">{title}</text>',
        f'<path d="M{LEFT} {TOP}V{bottom}H{right}" fill="none" stroke="black"/>',
        f'<text x="{(LEFT + right) / 2}" y="{HEIGHT - 12}" text-anchor="middle">{x_label}</text>',
        f'<text x="16" y="{(TOP + bottom) / 2}" text-anchor="middle" '
        f'transform="rotate(-90 16 {(TOP + bottom) / 2})">{y_label}</text>',
    ]
    for x in ticks(x_max):
        px, _ = at(x, 0)
        out.append(f'<path d="M{px:.1f} {bottom}v5" stroke="black"/>')
        out.append(f'<text x="{px:.1f}" y="{bottom + 18}" text-anchor="middle">{x:g}</text>')
    for y in ticks(y_max):
        _, py = at(0, y)
        out.append(f'<path d="M{LEFT} {py:.1f}H{right}" stroke="#dddddd"/>')
        out.append(f'<text x="{LEFT - 8}" y="{py + 4:.1f}" text-anchor="end">{y:g}</text>')
    for i, (name, points) in enumerate(series):
        colour = COLOURS[i % len(COLOURS)]
        line = " ".join(f"{px:.1f},{py:.1f}" for px, py in (at(x, y) for x, y in points))
        out.append(f'<polyline points="{line}" fill="none" stroke="{colour}" stroke-width="2"/>')
        for x, y in points:
            px, py = at(x, y)
            out.append(f'<circle cx="{px:.1f}" cy="{py:.1f}" r="3" fill="{colour}"/>')
        out.append(legend(right, i, name, colour, ""))
    for i, (name, y) in enumerate(limits):
        _, py = at(0, y)
        out.append(f'<path d="M{LEFT} {py:.1f}H{right}" stroke="black" stroke-dasharray="6 4"/>')
        out.append(legend(right, len(series) + i, name, "black", ' stroke-dasharray="6 4"'))
    out.append("</svg>\n")
    (ROOT / "docs" / path).write_text("\n".join(out))


def legend(right, row, name, colour, dash):
    y = TOP + 10 + row * 20
    return (
        f'<path d="M{right + 10} {y}h22" stroke="{colour}" stroke-width="2"{dash}/>'
        f'<text x="{right + 38}" y="{y + 4}">{name}</text>'
    )


def ticks(maximum):
    """About five round values from zero to the maximum."""
    step = 1.0
    while maximum / step > 6:
        step *= 2.5 if str(step).lstrip("0.")[0] == "2" else 2
    while maximum / step < 3:
        step /= 2
    return [i * step for i in range(int(maximum / step) + 1)]


def links():
    after, before = read("capacity_links"), read("capacity_links_before")
    of = lambda rows, f: [(row["agents"], f(row)) for row in rows]
    memory = lambda row: row["router_rss_mb"]
    control = lambda row: (row["to_agents_bps"] + row["to_routers_bps"]) / 1e3
    plot(
        "capacity-memory.svg", "Resident memory of one router at rest", "agents linked", "MB",
        [("before", of(before, memory)), ("now", of(after, memory))], [("limit, 32 MB", 32)],
    )
    plot(
        "capacity-control.svg", "Bytes on the links of one router at rest, both directions", "agents linked", "KB/s",
        [("before", of(before, control)), ("now", of(after, control))], [("limit, 13 KB/s", 13)],
    )


def fleet():
    rows = [row for row in read("capacity_fleet") if row["domains"] == 5 and row["agents"] == 2 * row["routers"]]
    kinds = ["get", "put", "hosts"]
    series = [(kind, [(row["routers"], row[f"{kind}_ps"]) for row in rows]) for kind in kinds]
    series.append(("watches waiting", [(row["routers"], row["waiting_watches"]) for row in rows]))
    plot("capacity-platform.svg", "Platform calls of the fleet at rest, 5 domains", "routers", "calls/s", series, [])


if __name__ == "__main__":
    links()
    fleet()
