"""Check which versions of the configuration the gateways of a soak serve."""

from lentilgauge.load import soak_checker

#: The users' bound on how soon a gateway must serve a new configuration.
CONFIGURATION_BOUND_SECONDS = 2.0


def check_version_served(
    checker: soak_checker.Checker,
    vm: str,
    process: str,
    version: int,
    sent_at: float,
) -> None:
    """Check that a gateway may still serve the route of a given version.

    `process` identifies one process of the gateway, which must never revert to
    an earlier configuration. `sent_at` is when the probe was sent, in seconds
    on the monotonic clock.
    """
    newest_served = checker.newest_version_by_process.get(process, 0)
    if version < newest_served:
        soak_checker.record_violation(
            checker, f'reverted: {process} from {newest_served} to {version}'
        )
    checker.newest_version_by_process[process] = max(newest_served, version)
    overdue = [
        published_at
        for number, published_at in checker.published_at_by_version.items()
        if number > version
        and sent_at > published_at + CONFIGURATION_BOUND_SECONDS
    ]
    if overdue and soak_checker.has_time_bounds(checker, vm, min(overdue)):
        soak_checker.record_violation(
            checker, f'old configuration: {vm} still serves {version}'
        )


def check_version_missing(
    checker: soak_checker.Checker,
    vm: str,
    version: int,
    sent_at: float,
) -> None:
    """Check that a gateway may still lack the route of a given version.

    It mustn't lack the newest version once the bound has passed. `sent_at` is
    when the probe was sent, in seconds on the monotonic clock.
    """
    if version != max(checker.published_at_by_version):
        return
    published_at = checker.published_at_by_version[version]
    if (
        sent_at > published_at + CONFIGURATION_BOUND_SECONDS
        and soak_checker.has_time_bounds(
            checker,
            vm,
            published_at,
        )
    ):
        soak_checker.record_violation(
            checker, f'old configuration: {vm} does not serve {version}'
        )
