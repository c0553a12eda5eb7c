"""Check a granter's term against the record in the store."""

import asyncio

from returns import result

from lentilgauge import clock, events
from lentilgauge.links import store_link
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import record_writer

#: How often the term is checked against the store.
TERM_CHECK_INTERVAL_MS = 700
#: The store answers within this time, also when it is slow; a check that takes
#: longer makes the granter ask other VMs whether the store answers them.
STORE_SILENCE_MS = 350


async def check_term_periodically(
    granter_state: granter_state_module.GranterState,
) -> None:
    """Check the term against the store at regular intervals.

    These count from the start of each check, as an answer may be long in
    coming.
    """
    next_check_ms = granter_state_module.now_ms(granter_state)
    while not granter_state.stopped:
        next_check_ms += TERM_CHECK_INTERVAL_MS
        pause_ms = next_check_ms - granter_state_module.now_ms(granter_state)
        await asyncio.sleep(clock.to_seconds(max(pause_ms, 0)))
        next_check_ms = granter_state_module.now_ms(granter_state)
        await _check_term(granter_state, next_check_ms)


async def _check_term(
    granter_state: granter_state_module.GranterState, request_sent_ms: int
) -> None:
    read_outcome = await _read_record(granter_state, request_sent_ms)
    if not isinstance(read_outcome, result.Success):
        _note_term_unconfirmed(granter_state)
        return
    reading = read_outcome.unwrap()
    await record_writer.check_reading(granter_state, reading, request_sent_ms)
    granter_state.read_revision = reading.revision
    granter_state.revision_asked_ms = request_sent_ms
    granter_state.revision_read.set()


async def _read_record(
    granter_state: granter_state_module.GranterState, request_sent_ms: int
) -> store_link.RecordResult:
    """Read the record, and note meanwhile if the store is silent."""
    timer = asyncio.get_running_loop().call_later(
        clock.to_seconds(STORE_SILENCE_MS),
        _note_silence,
        granter_state,
        request_sent_ms,
    )
    try:
        return await granter_state.gateway.store.read_record()
    finally:
        timer.cancel()
        granter_state.unanswered_check_ms = 0


def _note_silence(
    granter_state: granter_state_module.GranterState, request_sent_ms: int
) -> None:
    granter_state.unanswered_check_ms = request_sent_ms
    events.log_event(
        events.Event.STORE_SILENT, term=granter_state.ownership.term
    )


def _note_term_unconfirmed(
    granter_state: granter_state_module.GranterState,
) -> None:
    if granter_state.term_confirmed:
        events.log_event(events.Event.TERM_UNCONFIRMED)
    granter_state.term_confirmed = False
