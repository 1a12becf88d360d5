"""The bundle file written by operators, and the bundle built from it."""

from collections.abc import Iterator, Mapping
from typing import Annotated, Any, Literal, NamedTuple

import pydantic
from expression import Error, Ok, Result

from wasabicross.bundles.bundles import (
    CHUNKS,
    MAX_VALUE_BYTES,
    Manifest,
    Route,
    chunk_index,
    digest_of,
    encode_chunk,
)
from wasabicross.bundles.errors import BundleFileError
from wasabicross.bundles.manifests import encode_part
from wasabicross.runtime.documents import (
    Section,
    read_document,
    schema_faults,
    walk,
)
from wasabicross.runtime.errors import DocumentFault

#: Priorities range from the negative of this number to this number.
MAX_PRIORITY = 100

# The characters `@` and `#` are not allowed: they separate the parts of the
# name of a load, which is an adapter version resident in an engine slot.
AdapterName = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9_.:/\-]{0,127}$',
    ),
]
Version = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^[A-Za-z0-9][A-Za-z0-9_.+\-]{0,63}$'),
]
Label = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^[A-Za-z0-9][A-Za-z0-9_.\-]{0,63}$'),
]
RoutePath = Annotated[
    str,
    pydantic.StringConstraints(pattern=r'^/[!-~]{0,255}$'),
]
Method = Literal['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH']
Priority = Annotated[
    int,
    pydantic.Field(strict=True, ge=-MAX_PRIORITY, le=MAX_PRIORITY),
]
_PolicyValue = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class RouteSection(Section):
    """One route, as in :class:`wasabicross.bundles.bundles.Route`."""

    path: RoutePath
    kind: Literal['engine', 'service']
    group: Label
    request_class: Label
    idempotent_methods: tuple[Method, ...] = ()


class AdaptersSection(Section):
    """The adapters of one base model: versions by adapter name."""

    base_model: Label
    versions: dict[AdapterName, Version]


class PolicySection(Section):
    """Weights of the routing policy; those not given keep their defaults."""

    stall_weight: _PolicyValue | None = None
    batch_weight: _PolicyValue | None = None
    remote_s: _PolicyValue | None = None
    prefix_s: _PolicyValue | None = None
    load_s: _PolicyValue | None = None
    run_s: _PolicyValue | None = None
    report_stale_s: _PolicyValue | None = None
    copy_fill: _PolicyValue | None = None
    min_resident_s: _PolicyValue | None = None
    displace_margin: _PolicyValue | None = None


class BundleFile(Section):
    """A complete bundle file."""

    name: Label
    routes: Annotated[
        tuple[RouteSection, ...],
        pydantic.Field(min_length=1),
    ]
    adapters: tuple[AdaptersSection, ...] = ()
    policy: PolicySection = PolicySection()
    class_priorities: dict[Label, Priority] = {}


class BuiltBundle(NamedTuple):
    """An unsigned bundle.

    :param digest: digest of the manifest.
    :param manifest: the encoded manifest.
    :param chunks: the encoded chunks by digest.
    """

    digest: str
    manifest: bytes
    chunks: Mapping[str, bytes]


def parse_bundle_file(text: str) -> Result[BundleFile, BundleFileError]:
    """Parse and validate a bundle file in YAML or JSON.

    :param text: content of the file.
    """
    document = read_document(text)
    faults = list(document.faults)
    bundle_file = None
    if not faults:
        try:
            bundle_file = BundleFile.model_validate(document.root)
        except pydantic.ValidationError as exc:
            faults.extend(schema_faults(exc))
    faults.extend(_repeated_values(document.root))
    faults.extend(_unknown_classes(document.root))
    if faults or bundle_file is None:
        return Error(BundleFileError(tuple(faults)))
    return Ok(bundle_file)


def build_bundle(
    bundle_file: BundleFile,
    number: int,
    parent: str,
) -> Result[BuiltBundle, BundleFileError]:
    """Build a bundle; the same arguments always give the same bytes.

    :param bundle_file: the file written by the operators.
    :param number: number of the new bundle.
    :param parent: digest of the preceding bundle.
    """
    chunks = _encode_chunks(bundle_file.adapters)
    manifest = encode_part(
        Manifest(
            number=number,
            parent=parent,
            name=bundle_file.name,
            routes=tuple(
                Route(**route.model_dump()) for route in bundle_file.routes
            ),
            policy=bundle_file.policy.model_dump(exclude_none=True),
            chunks=b''.join(bytes.fromhex(digest) for digest, _ in chunks),
            class_priorities=bundle_file.class_priorities,
        ),
    )
    parts = [('routes', manifest)]
    parts.extend(('adapters', encoded) for _, encoded in chunks)
    faults = [
        DocumentFault(part, f'takes more than {MAX_VALUE_BYTES} bytes')
        for part, encoded in parts
        if len(encoded) > MAX_VALUE_BYTES
    ]
    if faults:
        return Error(BundleFileError(tuple(faults)))
    return Ok(BuiltBundle(digest_of(manifest), manifest, dict(chunks)))


def _encode_chunks(
    adapters: tuple[AdaptersSection, ...],
) -> tuple[tuple[str, bytes], ...]:
    tables: list[dict[str, dict[str, str]]] = [{} for _ in range(CHUNKS)]
    for section in adapters:
        for adapter, version in section.versions.items():
            table = tables[chunk_index(adapter)]
            table.setdefault(section.base_model, {})[adapter] = version
    encoded = [encode_chunk(table) for table in tables]
    return tuple((digest_of(chunk), chunk) for chunk in encoded)


def _repeated_values(root: Any) -> Iterator[DocumentFault]:
    yield from _repeated(root, 'routes.*.path')
    yield from _repeated(root, 'adapters.*.base_model')
    first_at: dict[str, str] = {}
    for path, versions in walk(root, 'adapters.*.versions'):
        for adapter in versions if isinstance(versions, dict) else ():
            first = first_at.setdefault(str(adapter), path)
            if first != path:
                yield DocumentFault(
                    f'{path}.{adapter}', f'is already in {first}'
                )


def _unknown_classes(root: Any) -> Iterator[DocumentFault]:
    known = {value for _, value in walk(root, 'routes.*.request_class')}
    for path, priorities in walk(root, 'class_priorities'):
        for request_class in priorities if isinstance(priorities, dict) else ():
            if request_class not in known:
                at = f'{path}.{request_class}'
                yield DocumentFault(at, 'is the request_class of no route')


def _repeated(root: Any, pattern: str) -> Iterator[DocumentFault]:
    first_at: dict[str, str] = {}
    for path, value in walk(root, pattern):
        first = first_at.setdefault(str(value).rstrip('/'), path)
        if first != path:
            yield DocumentFault(path, f'is the same as {first}')
