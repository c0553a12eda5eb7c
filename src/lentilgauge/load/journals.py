"""Judge an experiment by the journals of its upstreams."""

import collections
import dataclasses
from collections.abc import Iterable

from lentilgauge.contracts import holder
from lentilgauge.load import cluster as cluster_module
from lentilgauge.standins import journal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Hold one execution; one that a kill cut off has no known end."""

    upstream_id: str
    incarnation: str
    request_id: str
    idempotency_key: str
    slot: int
    epoch: int
    started_us: int
    ended_us: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Findings:
    """Hold what the journals say.

    `count_by_key` counts executions by idempotency key; `overlaps` are the
    pairs of executions of one slot that two owners had at once, or that an
    older owner began after a newer one.
    """

    runs: list[Run]
    count_by_key: collections.Counter[str]
    refused: int
    most_running: int
    overlaps: list[str]


def read_journals(cluster: cluster_module.Cluster) -> list[journal.Line]:
    """Read the journals of all upstreams of an experiment."""
    return [
        line
        for upstream in cluster.shape.upstreams
        for line in journal.read_lines(
            cluster_module.get_journal_path(cluster, upstream.id),
        )
    ]


def collect_runs(lines: Iterable[journal.Line]) -> list[Run]:
    """Pair the starts and ends of executions."""
    started: list[journal.Line] = []
    ended_by_mark: dict[str, journal.Line] = {}
    for line in lines:
        if line.outcome is journal.Outcome.STARTED:
            started.append(line)
        elif line.outcome is journal.Outcome.ENDED:
            ended_by_mark[f'{line.incarnation}/{line.request_id}'] = line
    return [_make_run(first, ended_by_mark) for first in started]


def _make_run(
    line: journal.Line, ended_by_mark: dict[str, journal.Line]
) -> Run:
    end = ended_by_mark.get(f'{line.incarnation}/{line.request_id}')
    return Run(
        upstream_id=line.upstream_id,
        incarnation=line.incarnation,
        request_id=line.request_id,
        idempotency_key=line.idempotency_key,
        slot=line.slot,
        epoch=line.epoch,
        started_us=line.at_us,
        ended_us=None if end is None else end.at_us,
    )


def find_overlaps(runs: Iterable[Run]) -> list[str]:
    """Find executions that show two owners of one slot."""
    runs_by_slot: dict[str, list[Run]] = {}
    for one in runs:
        if one.slot != holder.NO_SLOT:
            service = one.upstream_id.rpartition('-')[0]
            runs_by_slot.setdefault(f'{service}/{one.slot}', []).append(one)
    overlaps = []
    for slot, of_slot in runs_by_slot.items():
        of_slot.sort(key=lambda run: run.started_us)
        overlaps.extend(_find_slot_overlaps(slot, of_slot))
    return overlaps


def _find_slot_overlaps(slot: str, of_slot: list[Run]) -> list[str]:
    overlaps = []
    newest = of_slot[0]
    # The last end seen of each owner, by upstream.
    last_end_by_owner: dict[str, int] = {}
    for run in of_slot:
        if run.epoch < newest.epoch:
            overlaps.append(f'{slot}: {run} began after {newest}')
        overlaps.extend(
            f'{slot}: {run} began while {owner} still ran'
            for owner, end_us in last_end_by_owner.items()
            if owner != run.upstream_id and end_us > run.started_us
        )
        if run.epoch >= newest.epoch:
            newest = run
        end_us = run.started_us if run.ended_us is None else run.ended_us
        last_end_by_owner[run.upstream_id] = max(
            end_us,
            last_end_by_owner.get(run.upstream_id, 0),
        )
    return overlaps


def judge_journals(lines: list[journal.Line]) -> Findings:
    """Find out from the journals what was executed, and where wrongly."""
    runs = collect_runs(lines)
    return Findings(
        runs=runs,
        count_by_key=collections.Counter(
            run.idempotency_key for run in runs if run.idempotency_key
        ),
        refused=sum(line.outcome is journal.Outcome.REFUSED for line in lines),
        most_running=max((line.running for line in lines), default=0),
        overlaps=find_overlaps(runs),
    )
