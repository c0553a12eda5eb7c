"""Benchmark of the size of stored objects and the time to process them."""

import dataclasses
import sys
import time
from collections.abc import Callable

from lentilgauge.links import platform_messages, state_messages
from lentilgauge.operators import tables
from lentilgauge.services import configuration, placement, slots
from lentilgauge.vms import replica

_RUNS_PER_JOB = 5
_MAX_MOVES = 4
_BYTES_PER_KIB = 1024
_MS_PER_SECOND = 1000
#: Numbers of slots and upstreams of each measured service.
_SIZES = ((256, 25), (4096, 100), (16_384, 400), (32_768, 1200))


def _measure_ms(job: Callable[[], object]) -> float:
    """Return the shortest time of a few runs, in ms."""
    durations = []
    for _ in range(_RUNS_PER_JOB):
        started = time.perf_counter()
        job()
        durations.append(time.perf_counter() - started)
    return min(durations) * _MS_PER_SECOND


def _make_slot_map(slot_count: int, upstream_count: int) -> slots.SlotMap:
    upstream_ids = [f'upstream-{number}' for number in range(upstream_count)]
    slot_map = dataclasses.replace(
        slots.make_slot_map(slot_count),
        lease_by_id=dict.fromkeys(upstream_ids, 1),
    )
    owners = {
        slot: upstream_ids[slot % upstream_count] for slot in range(slot_count)
    }
    return slots.change_owners(slot_map, owners)


def _encode_object(name: str, body: dict[str, object]) -> bytes:
    stored = platform_messages.StoredObject(
        name=name,
        version=1,
        revision=1,
        body=body,
    )
    return stored.model_dump_json().encode()


def _apply_payload(payload: bytes) -> None:
    stored = platform_messages.StoredObject.model_validate_json(payload)
    replica.apply_object(replica.Replica(), stored)


def _measure_slot_map(slot_count: int, upstream_count: int) -> tables.Row:
    slot_map = _make_slot_map(slot_count, upstream_count)
    body = state_messages.pack_slot_map(slot_map, []).model_dump(mode='json')
    payload = _encode_object('assignment/cases', body)
    weight_by_id = dict.fromkeys(slot_map.lease_by_id, 1.0)
    lost_id = 'upstream-0'

    def replace_upstream() -> None:
        vacated = slots.remove_lease(slot_map, lost_id)
        placed = placement.place_slots(
            vacated,
            {
                upstream_id: 1.0
                for upstream_id in weight_by_id
                if upstream_id != lost_id
            },
            slots.list_vacant_slots(vacated),
        )
        slots.change_owners(vacated, placed)

    def plan_moves() -> None:
        placement.plan_rebalance(slot_map, weight_by_id, _MAX_MOVES)

    return [
        slot_count,
        upstream_count,
        f'{len(payload) / _BYTES_PER_KIB:.0f}',
        f'{_measure_ms(lambda: _apply_payload(payload)):.1f}',
        f'{_measure_ms(replace_upstream):.1f}',
        f'{_measure_ms(plan_moves):.1f}',
    ]


def _measure_configuration(upstream_count: int) -> tables.Row:
    model = configuration.ConfigurationModel.model_validate(
        {
            'services': {'cases': {'slots': 256}},
            'failure_domains': {'domain-a': {}},
            'upstreams': {
                f'upstream-{number}': {
                    'service': 'cases',
                    'failure_domain': 'domain-a',
                    'address': '10.0.0.1',
                    'port': 9001,
                }
                for number in range(upstream_count)
            },
        }
    )
    payload = _encode_object(
        configuration.OBJECT_NAME,
        model.model_dump(mode='json'),
    )
    return [
        upstream_count,
        f'{len(payload) / _BYTES_PER_KIB:.0f}',
        f'{_measure_ms(lambda: _apply_payload(payload)):.1f}',
    ]


def run_state_bench() -> None:
    """Print sizes and processing times of slot maps and configurations."""
    slot_map_table = tables.render_table(
        (
            'SLOTS',
            'UPSTREAMS',
            'KB',
            'APPLY ms',
            'REPLACE UPSTREAM ms',
            'PLAN ms',
        ),
        [_measure_slot_map(*size) for size in _SIZES],
    )
    configuration_table = tables.render_table(
        ('UPSTREAMS', 'KB', 'APPLY ms'),
        [
            _measure_configuration(upstream_count)
            for _, upstream_count in _SIZES
        ],
    )
    sys.stdout.write(f'Slot maps\n{slot_map_table}\n\n')
    sys.stdout.write(f'Configurations\n{configuration_table}\n')
