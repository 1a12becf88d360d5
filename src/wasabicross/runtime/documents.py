"""Reading and validation of YAML documents, with all faults collected."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import pydantic
import yaml

from wasabicross.runtime.errors import DocumentFault

_BaseLoader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_MERGE_TAG = 'tag:yaml.org,2002:merge'


class Section(pydantic.BaseModel):
    """A section of a document: immutable, with unknown keys refused."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Document(NamedTuple):
    """The result of reading one YAML text.

    :param root: the plain values; an empty mapping if the text is unreadable.
    :param faults: syntax errors and duplicate keys of the text.
    """

    root: Any
    faults: tuple[DocumentFault, ...]


class _DocumentLoader(_BaseLoader):  # type: ignore[valid-type, misc]
    """Collects duplicate keys, where PyYAML silently keeps the last value."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.faults: list[DocumentFault] = []

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        """Construct one mapping and record its duplicate keys.

        :param node: the YAML node.
        :param deep: construct nested values immediately.
        """
        seen = set()
        for key_node, _ in node.value:
            name = str(key_node.value)
            if name in seen:
                line = key_node.start_mark.line + 1
                self.faults.append(
                    DocumentFault(
                        f'line {line}', f'key {name!r} is given twice'
                    ),
                )
            if key_node.tag != _MERGE_TAG:
                seen.add(name)
        return super().construct_mapping(node, deep)


def read_document(text: str) -> Document:
    """Read one YAML (or JSON) text.

    :param text: the complete document.
    """
    try:
        loader = _DocumentLoader(text)
    except yaml.YAMLError as exc:
        return Document({}, (_syntax_fault(exc),))
    try:
        root = loader.get_single_data()
    except yaml.YAMLError as exc:
        return Document({}, (_syntax_fault(exc),))
    except (ValueError, RecursionError) as exc:
        return Document({}, (DocumentFault('', f'not readable: {exc}'),))
    finally:
        loader.dispose()
    return Document(root, tuple(loader.faults))


def schema_faults(exc: pydantic.ValidationError) -> tuple[DocumentFault, ...]:
    """Convert the errors of pydantic to `DocumentFault`.

    :param exc: the exception that the validation raised.
    """
    return tuple(
        DocumentFault('.'.join(str(step) for step in item['loc']), item['msg'])
        for item in exc.errors(include_url=False, include_input=False)
    )


def walk(root: Any, pattern: str) -> Iterator[tuple[str, Any]]:
    """Yield path and value of each place in a document that matches a pattern.

    :param root: the document; parts of an unexpected type are skipped.
    :param pattern: dotted path, with ``*`` for each item of a list or mapping.
    """
    yield from _walk(root, tuple(pattern.split('.')), '')


def _walk(node: Any, steps: tuple[str, ...], path: str) -> Iterator[Any]:
    if not steps:
        if node is not None:
            yield path, node
        return
    for name, child in _children(node, steps[0]):
        yield from _walk(child, steps[1:], f'{path}.{name}' if path else name)


def _children(node: Any, step: str) -> Iterator[tuple[str, Any]]:
    pairs: Any = ()
    if isinstance(node, Mapping):
        pairs = node.items()
    elif isinstance(node, list):
        pairs = enumerate(node)
    for name, child in pairs:
        if step in {'*', str(name)}:
            yield str(name), child


def _syntax_fault(exc: yaml.YAMLError) -> DocumentFault:
    mark = getattr(exc, 'problem_mark', None)
    problem = getattr(exc, 'problem', None) or str(exc)
    position = f'line {mark.line + 1}' if mark else ''
    return DocumentFault(position, f'not YAML: {problem}')
