"""Match callers' requests to configured request kinds and extract keys."""

import dataclasses
from collections.abc import Iterable, Mapping

from returns import result
from tornado import httputil

from lentilgauge import errors
from lentilgauge.services import catalog, keys

KEY_SEGMENT = '{key}'


@dataclasses.dataclass(frozen=True, slots=True)
class TemplateShape:
    """Properties by which path templates are indexed.

    A request can match a template only if its method, number of segments and
    first segment are the same, or the template's first segment is `{key}`.
    """

    method: str
    segment_count: int
    first_segment: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PathTemplate:
    """Request kind with the segments of its path template."""

    kind: catalog.Kind
    segments: tuple[str, ...]


TemplatesByShape = Mapping[TemplateShape, list[PathTemplate]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KindMatch:
    """Matched kind and key of a request; the key is empty for pooled kinds."""

    kind: catalog.Kind
    key: bytes = b''


def index_kinds(kinds: Iterable[catalog.Kind]) -> TemplatesByShape:
    """Index the path templates of kinds by shape."""
    templates_by_shape: dict[TemplateShape, list[PathTemplate]] = {}
    for kind in kinds:
        segments = tuple(kind.template.split('/')[1:])
        shape = TemplateShape(kind.method, len(segments), segments[0])
        templates_by_shape.setdefault(shape, []).append(
            PathTemplate(kind=kind, segments=segments),
        )
    return templates_by_shape


def _matches(template: PathTemplate, segments: list[str]) -> bool:
    return all(
        template_segment in {KEY_SEGMENT, path_segment}
        for template_segment, path_segment in zip(
            template.segments, segments, strict=True
        )
    )


def _find_template(
    templates_by_shape: TemplatesByShape,
    method: str,
    segments: list[str],
) -> PathTemplate | None:
    for first_segment in (segments[0], KEY_SEGMENT):
        shape = TemplateShape(method, len(segments), first_segment)
        for template in templates_by_shape.get(shape, ()):
            if _matches(template, segments):
                return template
    return None


def _extract_key(
    template: PathTemplate,
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
    key_texts = headers.get_list(kind.key_header)
    if len(key_texts) != 1:
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_KEY,
                detail=f'header {kind.key_header} must be present exactly once',
            ),
        )
    return keys.normalise_header(key_texts[0])


def match_request(
    templates_by_shape: TemplatesByShape,
    method: str,
    path: str,
    headers: httputil.HTTPHeaders,
) -> result.Result[KindMatch, errors.Failure]:
    """Match a request's method and path to a kind and extract its key."""
    segments = path.split('/')[1:]
    template = None
    if segments:
        template = _find_template(templates_by_shape, method, segments)
    if template is None:
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.NO_SUCH_KIND,
                detail=f'no request kind matches {method} {path}',
            ),
        )
    matched_template = template
    return _extract_key(matched_template, segments, headers).map(
        lambda key: KindMatch(kind=matched_template.kind, key=key),
    )
