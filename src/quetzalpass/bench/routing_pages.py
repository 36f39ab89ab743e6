"""Tables and plot of the routing benchmark."""

import pathlib
import typing

from quetzalpass.bench import routing_workloads as workloads
from quetzalpass.routing import settings

if typing.TYPE_CHECKING:
    from quetzalpass.bench import routing

COLUMNS = (
    ("stall_s", "stall s", 1),
    ("preemptions", "preempt.", 1),
    ("gap_p99_ms", "p99 gap ms", 1),
    ("gap_p999_ms", "p99.9 gap ms", 1),
    ("ttft_p95_ms", "p95 first token ms", 0),
    ("refused", "refused", 1),
    ("refused_must_not_drop", "of it must-not-drop", 2),
    ("goodput", "goodput tokens/s", 0),
    ("jain", "Jain", 3),
    ("prefix_hit_rate", "prefix hits", 2),
    ("objective", "objective", 3),
)
PLOTTED = (("stall_s", "stall time (s)"), ("gap_p99_ms", "p99 gap (ms)"))


def cell_name(row: dict) -> str:
    """Return a short name for the cell of a row."""
    return f"{row['condition']} {row['load']:g} x{row['gateways']}"


def rounded(value: float | None, digits: int = 3) -> str:
    """Return a rounded number for a table; ``None`` becomes a dash."""
    return "-" if value is None else f"{value:.{digits}f}"


def table(report: "routing.RoutingReport") -> str:
    """Return the report as Markdown tables."""
    lines = ["# Routing benchmark", ""]
    lines += target_lines(report)
    lines += comparison_lines(report)
    titles = [f"{title}" for _, title, _ in COLUMNS]
    lines += ["", "## Cells", "", "Mean over the seeds, ± 95% confidence.", ""]
    lines.append("| deployment | cell | policy | " + " | ".join(titles) + " |")
    lines.append("|---" * (len(titles) + 3) + "|")
    for row in report.cells:
        values = [
            f"{rounded(row[name], digits)} ±{rounded(row[name + '_ci'], digits)}"
            for name, _, digits in COLUMNS
        ]
        row_start = f"| {row['deployment']} | {cell_name(row)} | {row['policy']} | "
        lines.append(row_start + " | ".join(values) + " |")
    return "\n".join(lines) + "\n"


def target_lines(report: "routing.RoutingReport") -> list[str]:
    """Return the table of targets."""
    lines = ["## Targets", "", "| deployment | figure | bound | measured | met |"]
    lines.append("|---|---|---|---|---|")
    for target in report.targets:
        met = "yes" if target.met else "**no**"
        lines.append(
            f"| {target.deployment} | {target.name} | {target.bound:g} "
            f"| {rounded(target.measured)} | {met} |"
        )
    decision = rounded(report.summary["decision_p99_us_30"], 0)
    lines += ["", f"A decision before 30 replicas: p99 {decision} µs."]
    return lines


def comparison_lines(report: "routing.RoutingReport") -> list[str]:
    """Return the table of ratios to the best baseline of each cell."""
    lines = ["", "## Against the best baseline of each cell", ""]
    lines.append(
        "| deployment | cell | best baseline | objective | stall | p99 gap "
        "| preemptions | goodput | to highest goodput |"
    )
    lines.append("|---|---|---|---|---|---|---|---|---|")
    for item in report.comparisons:
        name = f"{item.condition} {item.load:g} x{item.gateways}"
        ratios = (
            item.objective_ratio,
            item.stall_ratio,
            item.gap_ratio,
            item.preemption_ratio,
            item.goodput_ratio,
            item.goodput_ratio_highest,
        )
        values = " | ".join(rounded(ratio) for ratio in ratios)
        lines.append(f"| {item.deployment} | {name} | {item.best} | {values} |")
    return lines


def write(report: "routing.RoutingReport", folder: pathlib.Path) -> None:
    """Write the table and the plot into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "routing-bench.md").write_text(table(report))
    draw(report, folder / "routing-bench.png")


def draw(report: "routing.RoutingReport", path: pathlib.Path) -> None:
    """Draw stall time and p99 gap of each cell and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(16, 9))
    for column, deployment in enumerate(workloads.DEPLOYMENTS):
        rows = [row for row in report.cells if row["deployment"] == deployment.name]
        for line, (name, title) in enumerate(PLOTTED):
            draw_bars(axes[line][column], rows, name)
            axes[line][column].set_title(f"{deployment.name}: {title}")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def draw_bars(axes, rows: list[dict], name: str) -> None:
    """Draw one figure, with a group of bars for each cell."""
    cells = list(dict.fromkeys(cell_name(row) for row in rows))
    width = 0.8 / len(settings.PolicyName)
    for index, policy in enumerate(settings.PolicyName):
        policy_rows = [row for row in rows if row["policy"] == policy.value]
        positions = [cell + index * width for cell in range(len(policy_rows))]
        axes.bar(
            positions,
            [row[name] for row in policy_rows],
            width,
            yerr=[row[f"{name}_ci"] for row in policy_rows],
            label=policy.value,
        )
    axes.set_xticks([cell + 0.4 for cell in range(len(cells))])
    axes.set_xticklabels(cells, rotation=30, ha="right", fontsize=7)
