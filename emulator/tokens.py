"""Answers of the stand-in engine, whose text depends only on the request."""

import hashlib
import json
from typing import Any

#: Fields of a request that do not affect the text.
_IGNORED_FIELDS = frozenset(('model', 'stream', 'stream_options'))

_DIGITS_PER_TOKEN = 4
_TOKENS_PER_DIGEST = 16


def digest_of(document: dict[str, Any]) -> str:
    """Return a digest of the request fields that the text depends on."""
    relevant = {
        name: field
        for name, field in document.items()
        if name not in _IGNORED_FIELDS
    }
    canonical = json.dumps(relevant, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(canonical.encode()).hexdigest()


class AnswerText:
    """The text of one answer, token by token.

    :param produced_by: ``adapter@version`` of the weights that produce it.
    :param document: the request.
    """

    def __init__(self, produced_by: str, document: dict[str, Any]) -> None:
        seed = f'{produced_by}|{digest_of(document)}'
        self._produced_by = produced_by
        self._digest = hashlib.sha256(seed.encode()).hexdigest()

    def token(self, index: int) -> str:
        """Return one token; the first one names the weights."""
        if index == 0:
            return f'[{self._produced_by}]'
        start = index % _TOKENS_PER_DIGEST * _DIGITS_PER_TOKEN
        return f' {self._digest[start : start + _DIGITS_PER_TOKEN]}.{index}'

    def full_text(self, count: int) -> str:
        """Return the text of an answer of ``count`` tokens."""
        return ''.join(self.token(index) for index in range(count))


def sse_event(document: dict[str, Any]) -> bytes:
    """Return a document as a server-sent event."""
    return b'data: %b\n\n' % json.dumps(document).encode()


def chunk_event(
    answer_id: str,
    model: str,
    text: str,
    finish_reason: str | None,
) -> bytes:
    """Return the server-sent event of one token of a streamed answer."""
    return sse_event(
        {
            'id': answer_id,
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': model,
            'choices': [
                {
                    'index': 0,
                    'delta': {'content': text},
                    'finish_reason': finish_reason,
                },
            ],
        }
    )


def complete_answer(
    answer_id: str,
    model: str,
    text: str,
    usage: dict[str, int],
) -> dict[str, Any]:
    """Return the document of an answer that is not streamed."""
    return {
        'id': answer_id,
        'object': 'chat.completion',
        'created': 0,
        'model': model,
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': text},
                'finish_reason': 'length',
            },
        ],
        'usage': usage,
    }
