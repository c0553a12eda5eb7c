"""Rendering of messages as plain-text tables."""

from collections.abc import Iterable, Sequence

from lentilgauge.operators import status, versions

Row = Sequence[object]

_UPSTREAM_TITLES = (
    'UPSTREAM',
    'SERVICE',
    'DOMAIN',
    'WANTED',
    'IS',
    'SLOTS',
    'TERM',
    'CHECKS TOKENS',
)


def render_table(titles: Sequence[str], rows: Iterable[Row]) -> str:
    """Render left-aligned columns, each as wide as its widest cell."""
    cells = [[str(cell) for cell in row] for row in rows]
    lines = [list(titles), *cells]
    widths = [
        max(len(line[index]) for line in lines) for index in range(len(titles))
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _render_services(message: status.StatusMessage) -> str:
    return render_table(
        ('SERVICE', 'SLOTS', 'VACANT', 'MOVING', 'EPOCH', 'IMBALANCE'),
        (
            (
                service.name,
                service.slots,
                service.vacant,
                service.moving,
                service.epoch,
                f'{service.imbalance:.2f}',
            )
            for service in message.services
        ),
    )


def _render_upstreams(message: status.StatusMessage) -> str:
    return render_table(
        _UPSTREAM_TITLES,
        (
            (
                upstream.id,
                upstream.service,
                upstream.failure_domain,
                'work' if upstream.accepts_new_work else 'no work',
                'available' if upstream.available else 'unavailable',
                upstream.slots,
                f'{upstream.controller}/{upstream.term}',
                'yes' if upstream.checks_tokens else 'no: moves wait',
            )
            for upstream in message.upstreams
        ),
    )


def _render_vms(message: status.StatusMessage) -> str:
    return render_table(
        ('VM', 'DOMAIN', 'STATE'),
        ((vm.id, vm.failure_domain, vm.state) for vm in message.vms),
    )


def render_status(message: status.StatusMessage) -> str:
    """Render a controller's status as a heading and three tables."""
    age_ms = message.confirmed_age_ms
    confirmed = 'never' if age_ms is None else f'{age_ms} ms ago'
    heading = (
        f'VM {message.vm}, configuration {message.configuration_version}, '
        f'platform confirmed {confirmed}'
    )
    return '\n\n'.join(
        (
            heading,
            _render_services(message),
            _render_upstreams(message),
            _render_vms(message),
        )
    )


def render_versions(message: versions.VersionsMessage) -> str:
    """Render the configuration version of each VM."""
    table = render_table(
        ('VM', 'STATE', 'VERSION', 'CONFIRMED ms AGO'),
        (
            (
                vm_version.vm,
                vm_version.state,
                'no answer'
                if vm_version.version is None
                else vm_version.version,
                '-'
                if vm_version.confirmed_age_ms is None
                else vm_version.confirmed_age_ms,
            )
            for vm_version in message.vms
        ),
    )
    scope = 'everywhere' if message.everywhere else 'not everywhere yet'
    return f'{table}\n\nversion {message.newest} is in force {scope}'
