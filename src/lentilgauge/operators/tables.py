"""Render messages as plain tables."""

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
    """Render rows under their titles, in columns of even width."""
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
    """Render a controller's status."""
    age = message.confirmed_age_ms
    confirmed = 'never' if age is None else f'{age} ms ago'
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
    """Render which VM runs which version."""
    table = render_table(
        ('VM', 'STATE', 'VERSION', 'CONFIRMED ms AGO'),
        (
            (
                one.vm,
                one.state,
                'no answer' if one.version is None else one.version,
                '-' if one.confirmed_age_ms is None else one.confirmed_age_ms,
            )
            for one in message.vms
        ),
    )
    where = 'everywhere' if message.everywhere else 'not everywhere yet'
    return f'{table}\n\nversion {message.newest} is in force {where}'
