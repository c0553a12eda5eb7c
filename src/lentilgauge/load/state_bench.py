"""Measure the size of the system's objects and the time to handle them."""

import dataclasses
import sys
import time
from collections.abc import Callable

from lentilgauge.links import platform_messages, state_messages
from lentilgauge.operators import tables
from lentilgauge.services import configuration, placement, slots
from lentilgauge.vms import replica

_REPEATS = 5
_MOVES = 4
_KB = 1024
_MS_PER_SECOND = 1000
#: Slots and upstreams of each measured service.
_SIZES = ((256, 25), (4096, 100), (16_384, 400), (32_768, 1200))


def _measure_ms(job: Callable[[], object]) -> float:
    """Return the shortest of a few runs."""
    spans = []
    for _ in range(_REPEATS):
        started = time.perf_counter()
        job()
        spans.append(time.perf_counter() - started)
    return min(spans) * _MS_PER_SECOND


def _make_slot_map(slot_count: int, upstreams: int) -> slots.SlotMap:
    names = [f'upstream-{number}' for number in range(upstreams)]
    made = dataclasses.replace(
        slots.make_slot_map(slot_count),
        lease_by_id=dict.fromkeys(names, 1),
    )
    owners = {slot: names[slot % upstreams] for slot in range(slot_count)}
    return slots.change_owners(made, owners)


def _store_object(name: str, body: dict[str, object]) -> bytes:
    stored = platform_messages.StoredObject(
        name=name,
        version=1,
        revision=1,
        body=body,
    )
    return stored.model_dump_json().encode()


def _take(payload: bytes) -> None:
    stored = platform_messages.StoredObject.model_validate_json(payload)
    replica.take_object(replica.Replica(), stored)


def _measure_slot_map(slot_count: int, upstreams: int) -> tables.Row:
    made = _make_slot_map(slot_count, upstreams)
    body = state_messages.pack_slot_map(made, []).model_dump(mode='json')
    payload = _store_object('assignment/cases', body)
    weight_by_id = dict.fromkeys(made.lease_by_id, 1.0)
    lost = 'upstream-0'

    def replace_lost() -> None:
        vacated = slots.remove_available(made, lost)
        placed = placement.place_slots(
            vacated,
            {one: 1.0 for one in weight_by_id if one != lost},
            slots.list_vacant_slots(vacated),
        )
        slots.change_owners(vacated, placed)

    def plan() -> None:
        placement.plan_rebalance(made, weight_by_id, _MOVES)

    return [
        slot_count,
        upstreams,
        f'{len(payload) / _KB:.0f}',
        f'{_measure_ms(lambda: _take(payload)):.1f}',
        f'{_measure_ms(replace_lost):.1f}',
        f'{_measure_ms(plan):.1f}',
    ]


def _measure_configuration(upstreams: int) -> tables.Row:
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
                for number in range(upstreams)
            },
        }
    )
    payload = _store_object(
        configuration.OBJECT_NAME,
        model.model_dump(mode='json'),
    )
    return [
        upstreams,
        f'{len(payload) / _KB:.0f}',
        f'{_measure_ms(lambda: _take(payload)):.1f}',
    ]


def run_state_bench() -> None:
    """Print sizes and times of slot maps and configurations."""
    maps = tables.render_table(
        ('SLOTS', 'UPSTREAMS', 'KB', 'TAKE ON ms', 'REPLACE ONE ms', 'PLAN ms'),
        [_measure_slot_map(*size) for size in _SIZES],
    )
    configurations = tables.render_table(
        ('UPSTREAMS', 'KB', 'TAKE ON ms'),
        [_measure_configuration(upstreams) for _, upstreams in _SIZES],
    )
    sys.stdout.write(f'Slot maps\n{maps}\n\n')
    sys.stdout.write(f'Configurations\n{configurations}\n')
