"""How current the configuration is at a VM, by the word of the store.

`StateCache.state_current_ms` is by the word of a granter, which goes on giving
it without the store while most VMs follow it. That is right for the routing of
requests, which shouldn't change while the store is out of reach. But a removed
API key must be refused in time, so its bound counts from what the store said.
"""

from lentilgauge.vms import state_cache as state_cache_module

#: What the clock of one VM counts while that of another counts 1, at least, if
#: each is wrong by up to 2 %.
_MIN_CLOCK_RATIO = 0.96


def note_current(
    state_cache: state_cache_module.StateCache, current_ms: int
) -> None:
    """Note that the configuration has all changes acknowledged by a time.

    `current_ms` is on this VM's clock, in milliseconds. It is the send time of
    a question to the store or to another VM, less the age that the other VM
    gave; an answer that is read late makes nothing look newer.
    """
    state_cache.configuration_current_ms = max(
        state_cache.configuration_current_ms, current_ms
    )


def compute_age_ms(
    state_cache: state_cache_module.StateCache, held_ms: int = 0
) -> int | None:
    """Return the largest possible age in milliseconds, `None` if unknown.

    It is the age `held_ms` ago, when the request arrived that is replied to.
    The VM that asked counts it from when it asked, so that neither the wait for
    changes nor the way there makes its state look older or newer than it is.
    """
    if not state_cache.configuration_current_ms:
        return None
    age_ms = state_cache.now_ms() - state_cache.configuration_current_ms
    return age_ms - int(held_ms * _MIN_CLOCK_RATIO)
