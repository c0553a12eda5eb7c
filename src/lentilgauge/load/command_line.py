"""Command line of `lentilgauge-load`: demo, benchmarks, soak and load."""

from lentilgauge import programs
from lentilgauge.load import (
    closed_loop,
    demo,
    entry_bench,
    gateway_bench,
    ownership_bench,
    placement_bench,
    retry_schedule_bench,
    soak,
    state_bench,
)


def main() -> None:
    """Run the subcommand that the arguments name."""
    programs.run_program(
        {
            'demo': demo.run_demo,
            'bench-entry': entry_bench.run_entry_bench,
            'bench-gateway': gateway_bench.run_gateway_bench,
            'bench-ownership': ownership_bench.run_ownership_bench,
            'bench-placement': placement_bench.run_placement_bench,
            'bench-state': state_bench.run_state_bench,
            'bench-returns': retry_schedule_bench.run_retry_schedule_bench,
            'soak': soak.run_soak,
            'closed-loop': closed_loop.run_closed_loop,
        }
    )
