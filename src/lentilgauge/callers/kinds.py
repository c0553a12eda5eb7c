"""Find which kind of request a caller has sent, and its key."""

import dataclasses
from collections.abc import Iterable, Mapping

from returns import result
from tornado import httputil

from lentilgauge import errors
from lentilgauge.services import catalog, keys

KEY_SEGMENT = '{key}'


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Index templates by what any path they match has in common."""

    method: str
    length: int
    first: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Template:
    """Hold a kind with its path template, split."""

    kind: catalog.Kind
    segments: tuple[str, ...]


TemplatesByShape = Mapping[Shape, list[Template]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Match:
    """Hold the kind of a request and its key, empty for pooled kinds."""

    kind: catalog.Kind
    key: bytes = b''


def index_kinds(kinds: Iterable[catalog.Kind]) -> TemplatesByShape:
    """Index kinds for matching."""
    templates_by_shape: dict[Shape, list[Template]] = {}
    for kind in kinds:
        segments = tuple(kind.template.split('/')[1:])
        shape = Shape(kind.method, len(segments), segments[0])
        templates_by_shape.setdefault(shape, []).append(
            Template(kind=kind, segments=segments),
        )
    return templates_by_shape


def _matches(template: Template, segments: list[str]) -> bool:
    return all(
        wanted in {KEY_SEGMENT, given}
        for wanted, given in zip(template.segments, segments, strict=True)
    )


def _find_template(
    templates_by_shape: TemplatesByShape,
    method: str,
    segments: list[str],
) -> Template | None:
    for first in (segments[0], KEY_SEGMENT):
        shape = Shape(method, len(segments), first)
        for template in templates_by_shape.get(shape, ()):
            if _matches(template, segments):
                return template
    return None


def _read_key(
    template: Template,
    segments: list[str],
    headers: httputil.HTTPHeaders,
) -> keys.KeyResult:
    kind = template.kind
    if KEY_SEGMENT in template.segments:
        return keys.normalise_segment(
            segments[template.segments.index(KEY_SEGMENT)],
        )
    if not kind.key_header:
        return result.Success(b'')
    given = headers.get_list(kind.key_header)
    if len(given) != 1:
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_KEY,
                detail=f'header {kind.key_header} is expected exactly once',
            ),
        )
    return keys.normalise_header(given[0])


def match_request(
    templates_by_shape: TemplatesByShape,
    method: str,
    path: str,
    headers: httputil.HTTPHeaders,
) -> result.Result[Match, errors.Failure]:
    """Find the kind and the key of a request."""
    segments = path.split('/')[1:]
    template = None
    if segments:
        template = _find_template(templates_by_shape, method, segments)
    if template is None:
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.NO_SUCH_KIND,
                detail=f'no kind of request matches {method} {path}',
            ),
        )
    found = template
    return _read_key(found, segments, headers).map(
        lambda key: Match(kind=found.kind, key=key),
    )
