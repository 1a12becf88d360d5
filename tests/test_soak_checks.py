"""Each check of the soak detects its broken promise, and no other one."""

import pytest

from emulator.soak import checks
from emulator.soak.answer_parts import event
from emulator.soak.callers import CallResult
from emulator.soak.evidence import (
    Arrival,
    BrittleEvent,
    Evidence,
    Notice,
    OrderReceived,
    Run,
    ServerEnd,
    ServerStart,
    StatedLimit,
)
from emulator.soak.injected import GatewayStop, InjectedFault, PublishedVersion

#: The last fault ended 100 s into the run.
END_S = 100.0
BODY = event('r', 1) + event('r', 2)
STREAM = CallResult(
    'r', 'stream', 'a1', 2, 'g', 10, 10.5, 200, '', BODY, True, 'r'
)


def written(request, software, first=1, last=2):
    """Return events of a stream that a software version wrote."""
    return b''.join(
        event(request, number, software) for number in range(first, last + 1)
    )


#: A stream of four events that breaks off after two, and its take-up.
BEGUN = STREAM._replace(
    route_name='resumable',
    events=4,
    body=written('r', 's1'),
    is_complete=False,
)
TAKEN_UP = BEGUN._replace(
    request_id='t',
    echoed_id='t',
    body=written('t', 's1', 3, 4),
    is_complete=True,
    after=2,
    began='r',
)


def joined(count):
    """Return streams that two software versions wrote, in two answers or one."""
    begun = BEGUN._replace(body=written('r', 's1', 1, 1))
    streams = [
        begun._replace(
            request_id=f'j{number}',
            echoed_id=f'j{number}',
            body=written(f'j{number}', 's1', 1, 1)
            + written(f'j{number}', 's2', 2, 2),
        )
        for number in range(count - 1)
    ]
    late = TAKEN_UP._replace(body=written('t', 's2', 3, 4))
    return [*streams, BEGUN, late]


REFUSED = STREAM._replace(status=503, body=b'', retry_after='0.70')
CUT = STREAM._replace(body=event('r', 1), is_complete=False)
SILENT = CUT._replace(status=0, body=b'', echoed_id='')
RUN = Run(10, 'llm-0', 'r', 'a1', 1, '')
ORDER = OrderReceived(20, 'llm-0', 'g', 5, False)
STOP = GatewayStop('g', 0, 2.5, True)
NEWEST = CallResult(
    'n',
    'safe',
    '',
    0,
    'g',
    20,
    20.1,
    404,
    is_complete=True,
    configuration=3,
)
HAD_NEWEST = NEWEST._replace(
    request_id='h',
    sent_s=15,
    ended_s=15.1,
    status=200,
    body=b'{"request": "h"}',
    echoed_id='h',
)
STOPPED = InjectedFault('gateway_stop', 'g', 10.2, 13)
AFTER = [
    STREAM._replace(
        request_id=f'after-{number}',
        sent_s=END_S + 13,
        ended_s=END_S + 14,
        body=event(f'after-{number}', 1) + event(f'after-{number}', 2),
        echoed_id=f'after-{number}',
    )
    for number in range(60)
]


def asked_newest(*got, **seen):
    """Return the fields that differ where callers only fetch configurations."""
    return {'results': list(got), 'runs': [], **seen}


def evidence(**seen):
    """Return the evidence of a sound run with the given fields replaced."""
    sound = {
        'results': [STREAM],
        'runs': [RUN],
        'arrivals': [],
        'orders': [],
        'overfilled_engines': [],
        'injected': [],
        'stops': [STOP],
        'unexpected_exits': [],
        'published_versions': [],
        'faults_end_s': END_S,
        **seen,
    }
    sound['results'] = sound['results'] + AFTER
    return Evidence(**sound)


#: Notices of a server in its answers to requests of gateway g.
PAUSE = Notice(20, 'llm-0', 'r', 3)
LEAVING = Notice(20, 'llm-0', 'r', 0)

#: A server that states a limit of one request a second for ten seconds.
LIMITS = [StatedLimit(at_s, 'llm-0', 'r', 1) for at_s in (20, 23, 26, 29)]

#: Ends of servers under a request that crashes them, and a copy of it.
DEADLY = [
    ServerEnd(at_s, 'llm-0', f'd{number}', 'deadly3')
    for number, at_s in enumerate((20, 21, 22, 23, 24.5, 26, 27, 28, 29))
]
DEADLY_REFUSED = REFUSED._replace(
    status=422, path='deadly3', retry_after='', body=b''
)

#: A server that is brittle for ten seconds, and falls over.
BRITTLE = BrittleEvent(20, 'llm-0', 10)
FALLS = [BrittleEvent(at_s, 'llm-0', 0) for at_s in (23.5, 25, 27)]


def asked(at_s, count, server='llm-0', gateway='g'):
    """Return requests that gateways sent to a server."""
    got = [
        STREAM._replace(
            request_id=f'late-{number}',
            gateway=gateway,
            sent_s=at_s,
            ended_s=at_s + 0.1,
            status=503,
            body=b'',
            retry_after='1',
            echoed_id=f'late-{number}',
        )
        for number in range(count)
    ]
    arrivals = [Arrival(at_s, server, each.request_id) for each in got]
    return {'results': [STREAM, *got], 'arrivals': arrivals}


def others(**changes):
    """Return an order of another owner, three seconds later."""
    later = {'at_s': 23.5, 'owner': 'h', 'term': 6}
    return [ORDER, ORDER._replace(**{**later, **changes})]


def repeated(count):
    """Return arrivals of one request, within a second."""
    return [Arrival(50 + each / count, 'llm-0', 'r') for each in range(count)]


SOUND = [
    {},
    {'results': [CUT]},
    {'results': [BEGUN, TAKEN_UP]},
    {'results': [BEGUN, TAKEN_UP._replace(events=2, body=b'')]},
    *(
        {'results': [CUT._replace(body=written('r', 's1')[:length])]}
        for length in range(len(written('r', 's1')))
    ),
    {'results': joined(2)},
    {'results': [REFUSED], 'runs': []},
    {'results': [STREAM._replace(route_name='resumable')], 'runs': [RUN, RUN]},
    {'orders': others()},
    {'orders': others(at_s=21, is_late=True)},
    {'orders': others(at_s=21, term=4, server_id='llm-0.7')},
    {
        'orders': others(at_s=21),
        'injected': [InjectedFault('gateway_pause', 'h', 15, 20.9)],
    },
    {
        'orders': others(at_s=21),
        'injected': [InjectedFault('server_delay', 'llm-0', 0, 30)],
    },
    {'stops': [STOP._replace(exit_code=-15, accepted_callers=False)]},
    {
        'results': [SILENT._replace(ended_s=10.15)],
        'injected': [STOPPED],
        'runs': [],
    },
    {
        'results': [CUT],
        'injected': [STOPPED, InjectedFault('gateway_kill', 'g', 10, 10.3)],
    },
    {
        'results': [CUT],
        'injected': [STOPPED, InjectedFault('server_kill', 'llm-0', 10, 10.3)],
        'arrivals': [Arrival(10, 'llm-0', 'r')],
    },
    {
        'results': [CUT],
        'injected': [STOPPED, InjectedFault('server_die', 'llm-0', 5, 5)],
        'arrivals': [Arrival(10, 'llm-0', 'r')],
    },
    {'results': [CUT._replace(ended_s=14.1)], 'injected': [STOPPED]},
    {
        'results': [STREAM._replace(ended_s=15)],
        'injected': [InjectedFault('gateway_pause', 'g', 11, 14)],
    },
    {'published_versions': [PublishedVersion('a1', 2, 90)]},
    {
        'published_versions': [PublishedVersion('a1', 2, END_S + 3)],
        'runs': [RUN._replace(at_s=END_S + 7)],
    },
    {'arrivals': repeated(41)},
    asked_newest(NEWEST),
    asked_newest(HAD_NEWEST, NEWEST._replace(configuration=4)),
    asked_newest(HAD_NEWEST, NEWEST._replace(gateway='f')),
    asked_newest(HAD_NEWEST, NEWEST._replace(sent_s=15.05, ended_s=15.2)),
    asked_newest(
        HAD_NEWEST,
        NEWEST,
        injected=[InjectedFault('gateway_kill', 'g', 16, 18)],
    ),
    asked_newest(
        HAD_NEWEST,
        NEWEST,
        injected=[InjectedFault('all_gateways_kill', '', 16, 18)],
    ),
    asked_newest(NEWEST._replace(sent_s=END_S + 4.9, ended_s=END_S + 5)),
    # A notice binds the gateways that received it, for its time, until the
    # server restarts.
    {'notices': [PAUSE], **asked(20.4, 9)},
    {'notices': [PAUSE], **asked(21, 2)},
    {'notices': [PAUSE], **asked(23.1, 9)},
    {'notices': [PAUSE], **asked(21, 9, gateway='h')},
    {'notices': [PAUSE], **asked(21, 9, server='llm-1')},
    {'notices': [LEAVING], **asked(21.9, 9)},
    {'limits': LIMITS, **asked(25, 11)},
    {'limits': LIMITS, **asked(22.9, 20)},
    {'limits': LIMITS, **asked(25, 20, gateway='h')},
    {'limits': LIMITS, **asked(25, 20, server='llm-1')},
    {'limits': LIMITS[:1], **asked(25, 20)},
    {
        'limits': LIMITS,
        'injected': [InjectedFault('gateway_pause', 'g', 22, 24)],
        **asked(25, 20),
    },
    {'ends': DEADLY[:3], 'results': [DEADLY_REFUSED], 'runs': []},
    {'ends': DEADLY[:8]},
    {
        'ends': DEADLY,
        'injected': [InjectedFault('all_gateways_kill', '', 24, 25)],
    },
    {'brittle': [BRITTLE, *FALLS[:2]]},
    {'brittle': [BRITTLE, *FALLS[:2], BrittleEvent(22, 'llm-0', 0)]},
    {'notices': [LEAVING], **asked(23, 9, gateway='h')},
    {
        'notices': [LEAVING],
        'server_starts': [ServerStart(22, 'llm-0')],
        **asked(23, 9),
    },
    {
        'notices': [PAUSE, LEAVING],
        'injected': [InjectedFault('gateway_kill', 'g', 20.2, 20.6)],
        **asked(22.5, 9),
    },
]

BROKEN = [
    (
        'answer of other',
        {'results': [STREAM._replace(echoed_id='other')]},
    ),
    ('another body', {'results': [STREAM._replace(body=event('x', 1))]}),
    ('another body', {'results': [STREAM._replace(body=BODY + b'x')]}),
    ('pieces of another', {'results': [CUT._replace(body=event('x', 1))]}),
    # A gateway that takes the end of a killed server's answer for its end.
    *(
        ('as the whole one', {'results': [STREAM._replace(body=part)]})
        for part in (event('r', 1), BODY[:-1], b'')
    ),
    *(
        ('as the whole one', asked_newest(HAD_NEWEST._replace(body=part)))
        for part in (HAD_NEWEST.body[:8], b'')
    ),
    # A take-up that leaves an event out, brings one twice, or ends too early.
    *(
        (
            message,
            {'results': [BEGUN, TAKEN_UP._replace(body=body)]},
        )
        for message, body in (
            ('another body', written('t', 's1', 4, 4)),
            ('another body', written('t', 's1', 2, 4)),
            ('as the whole one', written('t', 's1', 3, 3)),
        )
    ),
    ('3 streams of two software versions', {'results': joined(3)}),
    ('nobody sent it', {'runs': [RUN, RUN._replace(request='x')]}),
    ('ran 2 times', {'runs': [RUN, RUN._replace(server='llm-1')]}),
    ('refused with 503', {'results': [REFUSED]}),
    (
        'without a time to come back',
        {'results': [REFUSED._replace(retry_after='')], 'runs': []},
    ),
    (
        'ran on version 1',
        {
            'published_versions': [PublishedVersion('a1', 2, 90)],
            'runs': [RUN._replace(at_s=END_S + 6)],
        },
    ),
    ('within 1.00 s', {'orders': others(at_s=21)}),
    ('term 4 after 5', {'orders': others(term=4)}),
    ('from two owners', {'orders': others(term=5)}),
    (
        'llm-0.7 got orders',
        {
            'orders': [
                each._replace(server_id='llm-0.7') for each in others(at_s=21)
            ]
        },
    ),
    ('slots passed', {'overfilled_engines': ['llm-0']}),
    ('ended by itself', {'unexpected_exits': ['g']}),
    ('exit code 1', {'stops': [STOP._replace(exit_code=1)]}),
    ('took 8.5 s', {'stops': [STOP._replace(took_s=8.5)]}),
    ('cut by the stop', {'results': [CUT], 'injected': [STOPPED]}),
    (
        'cut by the stop',
        {
            'results': [CUT],
            'injected': [
                STOPPED,
                InjectedFault('server_kill', 'llm-1', 10, 10.3),
            ],
            'arrivals': [Arrival(10, 'llm-0', 'r')],
        },
    ),
    (
        'cut by the stop',
        {'results': [SILENT], 'injected': [STOPPED], 'runs': []},
    ),
    (
        'cut by the stop',
        {
            'results': [SILENT._replace(ended_s=10.15)],
            'injected': [STOPPED._replace(from_s=10.1)],
            'arrivals': [Arrival(10, 'llm-0', 'r')],
        },
    ),
    (
        'cut by the stop',
        {
            'results': [CUT],
            'injected': [STOPPED, InjectedFault('store_cut', 'g', 10, 11)],
        },
    ),
    (
        'held 4.60 s',
        {
            'results': [REFUSED._replace(ended_s=14.6)],
            'runs': [],
            'injected': [InjectedFault('server_pause', 'llm-0', 11, 14)],
        },
    ),
    ('no answer', {'results': [SILENT._replace(ended_s=15)]}),
    ('had configuration 3, lost it', asked_newest(HAD_NEWEST, NEWEST)),
    (
        'had configuration 3, lost it',
        asked_newest(HAD_NEWEST, NEWEST._replace(configuration=2)),
    ),
    (
        'had configuration 3, lost it',
        asked_newest(
            HAD_NEWEST,
            NEWEST,
            injected=[InjectedFault('gateway_hangup', 'g', 16, 16)],
        ),
    ),
    ('llm-0 got 12 in 4.0 s', {'limits': LIMITS, **asked(25, 12)}),
    ('deadly3 was sent 4 times more, 9 ended', {'ends': DEADLY}),
    (
        'r was refused as if it crashed servers',
        {'results': [DEADLY_REFUSED._replace(path='x')], 'runs': []},
    ),
    ('llm-0 fell over 3 times', {'brittle': [BRITTLE, *FALLS]}),
    ('llm-0 got 3 in a pause from g', {'notices': [PAUSE], **asked(21, 3)}),
    ('reached llm-0, which leaves', {'notices': [LEAVING], **asked(23, 1)}),
    (
        'reached llm-0, which leaves',
        {
            'notices': [LEAVING],
            'server_starts': [
                ServerStart(19, 'llm-0'),
                ServerStart(22, 'llm-1'),
            ],
            **asked(23, 1),
        },
    ),
    (
        'g lacks configuration 3',
        asked_newest(NEWEST._replace(sent_s=END_S + 5.1, ended_s=END_S + 5.2)),
    ),
]


@pytest.mark.parametrize('seen', SOUND)
def test_sound_runs_break_nothing(seen):
    assert checks.violations(evidence(**seen)) == []


@pytest.mark.parametrize(('message', 'seen'), BROKEN)
def test_a_broken_promise_is_seen(message, seen):
    broken = checks.violations(evidence(**seen))
    assert len(broken) == 1
    assert message in broken[0]


def test_too_many_repeats_are_seen():
    broken = checks.violations(evidence(arrivals=repeated(60)))
    assert broken
    assert all('repeats at llm, 40 allowed' in each for each in broken)


@pytest.mark.parametrize(
    ('after', 'message'),
    [
        (AFTER[:40], '40 requests were sent'),
        ([got._replace(status=502) for got in AFTER], '0 of 60 were served'),
    ],
)
def test_a_deployment_that_does_not_recover_is_seen(after, message):
    seen = evidence()._replace(results=[STREAM, *after])
    broken = checks.violations(seen)
    assert len(broken) == 1
    assert message in broken[0]
