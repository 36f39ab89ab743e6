"""Converts load reports of engines to the form that the routing uses."""

from quetzalpass.backends import base
from quetzalpass.membership import server_views
from quetzalpass.routing import reports


def report_for_routing(report: base.LoadReport, now_s: float) -> reports.LoadReport:
    """Return a report in blocks of tokens, with its age converted to a loop time."""
    block_tokens = server_views.BLOCK_TOKENS
    return reports.LoadReport(
        taken_at_s=now_s - report.age_s,
        running=report.running,
        waiting=report.waiting,
        memory_blocks=report.memory_tokens // block_tokens,
        held_blocks=-(-report.tokens_held // block_tokens),
        block_tokens=block_tokens,
        prefill_tokens=report.prefill_tokens,
        step_s=report.step_s,
        preemptions=report.preemptions,
        adapters=report.adapters,
    )
