"""Analysis of an experiment from the journals of its upstreams."""

import collections
import dataclasses
from collections.abc import Iterable

from lentilgauge.contracts import holder
from lentilgauge.load import cluster as cluster_module
from lentilgauge.standins import journal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """One execution; `ended_us` is `None` if a kill cut it off."""

    upstream_id: str
    incarnation: str
    request_id: str
    idempotency_key: str
    slot: int
    epoch: int
    started_us: int
    ended_us: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JournalFindings:
    """Executions in the journals, and violations of slot ownership.

    `execution_count_by_key` counts executions by idempotency key.
    `ownership_violations` describes pairs of executions of one slot: two owners
    ran them at the same time, or one of an older epoch started after one of a
    newer epoch.
    `max_running` is the highest number of requests that ran on one upstream
    at once.
    """

    executions: list[Execution]
    execution_count_by_key: collections.Counter[str]
    refused_count: int
    max_running: int
    ownership_violations: list[str]


def read_journals(cluster: cluster_module.Cluster) -> list[journal.JournalLine]:
    """Read the journals of all upstreams of an experiment."""
    return [
        journal_line
        for upstream in cluster.system_topology.upstreams
        for journal_line in journal.read_lines(
            cluster_module.get_journal_path(cluster, upstream.id),
        )
    ]


def pair_executions(lines: Iterable[journal.JournalLine]) -> list[Execution]:
    """Pair the start and end lines of executions."""
    start_lines: list[journal.JournalLine] = []
    end_line_by_request: dict[str, journal.JournalLine] = {}
    for journal_line in lines:
        if journal_line.outcome is journal.RequestEvent.STARTED:
            start_lines.append(journal_line)
        elif journal_line.outcome is journal.RequestEvent.ENDED:
            end_line_by_request[
                f'{journal_line.incarnation}/{journal_line.request_id}'
            ] = journal_line
    return [
        _make_execution(start_line, end_line_by_request)
        for start_line in start_lines
    ]


def _make_execution(
    journal_line: journal.JournalLine,
    end_line_by_request: dict[str, journal.JournalLine],
) -> Execution:
    end_line = end_line_by_request.get(
        f'{journal_line.incarnation}/{journal_line.request_id}'
    )
    return Execution(
        upstream_id=journal_line.upstream_id,
        incarnation=journal_line.incarnation,
        request_id=journal_line.request_id,
        idempotency_key=journal_line.idempotency_key,
        slot=journal_line.slot,
        epoch=journal_line.epoch,
        started_us=journal_line.at_us,
        ended_us=None if end_line is None else end_line.at_us,
    )


def find_ownership_violations(executions: Iterable[Execution]) -> list[str]:
    """Describe pairs of executions that show two owners of one slot."""
    executions_by_slot: dict[str, list[Execution]] = {}
    for execution in executions:
        if execution.slot != holder.NO_SLOT:
            service = execution.upstream_id.rpartition('-')[0]
            executions_by_slot.setdefault(
                f'{service}/{execution.slot}', []
            ).append(execution)
    violations = []
    for slot, slot_executions in executions_by_slot.items():
        slot_executions.sort(key=lambda candidate: candidate.started_us)
        violations.extend(_find_slot_violations(slot, slot_executions))
    return violations


def _find_slot_violations(
    slot: str, slot_executions: list[Execution]
) -> list[str]:
    violations = []
    newest_execution = slot_executions[0]
    # By upstream. An execution cut off by a kill counts as ended at its start.
    last_end_us_by_owner: dict[str, int] = {}
    for execution in slot_executions:
        if execution.epoch < newest_execution.epoch:
            violations.append(
                f'{slot}: {execution} started after newer {newest_execution}'
            )
        violations.extend(
            f'{slot}: {execution} started while {owner} executed another'
            for owner, end_us in last_end_us_by_owner.items()
            if owner != execution.upstream_id and end_us > execution.started_us
        )
        if execution.epoch >= newest_execution.epoch:
            newest_execution = execution
        end_us = (
            execution.started_us
            if execution.ended_us is None
            else execution.ended_us
        )
        last_end_us_by_owner[execution.upstream_id] = max(
            end_us,
            last_end_us_by_owner.get(execution.upstream_id, 0),
        )
    return violations


def analyse_journals(lines: list[journal.JournalLine]) -> JournalFindings:
    """Collect executions from journal lines and find ownership violations."""
    executions = pair_executions(lines)
    return JournalFindings(
        executions=executions,
        execution_count_by_key=collections.Counter(
            execution.idempotency_key
            for execution in executions
            if execution.idempotency_key
        ),
        refused_count=sum(
            journal_line.outcome is journal.RequestEvent.REFUSED
            for journal_line in lines
        ),
        max_running=max(
            (journal_line.running for journal_line in lines), default=0
        ),
        ownership_violations=find_ownership_violations(executions),
    )
