"""An answer names the requested adapter and is otherwise unchanged.

Engines know an adapter by the name of its load. The name can occur in texts and
across the pieces of a stream, where a plain replacement would corrupt the
answer.
"""

import json

import pytest

from emulator.tokens import chunk_event, complete_answer
from wasabicross.callers.model_field import ModelField
from wasabicross.dispatching.errors import AnswerCut

LOAD = 'tenant/quote.v2@1.0+b#engine-1:3:1'
ADAPTER = 'tenant/quote.v2'
TRAPS = (
    LOAD,
    f'"model": "{LOAD}"',
    f'{{"model":"{LOAD}"}}',
    f'\\"model": "{LOAD}"',
    f'\n"model": "{LOAD}"\n',
    f'\\\\"model": "{LOAD}"',
    'model": "',
    '\u2028é',
    '',
)


def compact(document):
    return json.dumps(document, separators=(',', ':'), ensure_ascii=False)


def slashes_escaped(document):
    return json.dumps(document).replace('/', r'\/')


def spread_out(document):
    return json.dumps(document, indent=2)


def renamed(*pieces, load=LOAD, adapter=ADAPTER):
    return list(ModelField(load, adapter).rename(each for each in pieces))


def event(name, text):
    return chunk_event('id-1', name, text, None)


@pytest.mark.parametrize('text', TRAPS)
@pytest.mark.parametrize(
    'encode', [json.dumps, compact, slashes_escaped, spread_out]
)
def test_only_the_field_of_an_answer_changes(encode, text):
    answer = complete_answer('id-1', LOAD, text, {'total_tokens': 3})
    answer['choices'][0]['a "model'] = LOAD
    changed = json.loads(b''.join(renamed(encode(answer).encode())))
    assert changed == {**answer, 'model': ADAPTER}


@pytest.mark.parametrize('text', TRAPS)
def test_stream_cut_anywhere_into_pieces(text):
    stream = event(LOAD, text) + event(LOAD, 'end') + b'data: [DONE]\n\n'
    expected = event(ADAPTER, text) + event(ADAPTER, 'end')
    for at in range(len(stream)):
        pieces = renamed(stream[:at], stream[at:])
        assert b''.join(pieces) == expected + b'data: [DONE]\n\n'


@pytest.mark.parametrize('adapter', [ADAPTER, 'model', 'm', 'model:'])
def test_stream_that_comes_byte_by_byte(adapter):
    load = f'{adapter}@1#engine-1:3:1'
    stream = event(load, load) + event(load, '"model') + event('base', 'x')
    expected = event(adapter, load) + event(adapter, '"model')
    received = [stream[at : at + 1] for at in range(len(stream))]
    pieces = renamed(*received, load=load, adapter=adapter)
    assert b''.join(pieces) == expected + event('base', 'x')


@pytest.mark.parametrize(
    ('came', 'passed'),
    [
        (b'{"choices": [{"text": "a long', b'{"choices": [{"text": "a long'),
        (b'{"a": 1, "mod', b'{"a": 1,'),
        (b'{"a": 1, "model": "ten', b'{"a": 1,'),
        (b'{"a": 1, "model": "other", ', b'{"a": 1, "model": "other", '),
        (b'{"model": "' + b'x' * 500, b'{"model": "' + b'x' * 500),
    ],
)
def test_only_what_may_begin_the_field_is_held_back(came, passed):
    def pieces():
        yield came
        raise AnswerCut('gone')

    answer = ModelField(LOAD, ADAPTER).rename(pieces())
    assert next(answer) == passed
    with pytest.raises(AnswerCut):
        next(answer)


def test_complete_events_are_not_held_back():
    received = [event(LOAD, str(number)) for number in range(3)]
    expected = [event(ADAPTER, str(number)) for number in range(3)]
    assert renamed(*received) == expected


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'\n',
        b'{"model": "base"}',
        f'{{"model": "{LOAD}1"}}'.encode(),
        f'{{"model": "1{LOAD}"}}'.encode(),
        f'{{"models": "{LOAD}"}}'.encode(),
        f'{{"id": "{LOAD}"}}'.encode(),
    ],
)
def test_other_names_are_kept(answer):
    assert b''.join(renamed(answer)) == answer


def test_cut_of_the_answer_is_passed_on():
    def pieces():
        yield event(LOAD, 'a')
        raise AnswerCut('gone')

    answer = ModelField(LOAD, ADAPTER).rename(pieces())
    assert next(answer) == event(ADAPTER, 'a')
    with pytest.raises(AnswerCut):
        next(answer)


def test_closing_closes_the_answer():
    closed = []

    def pieces():
        try:
            yield event(LOAD, 'a')
        finally:
            closed.append(True)

    source = pieces()
    answer = ModelField(LOAD, ADAPTER).rename(source)
    next(answer)
    answer.close()
    assert closed == [True]
