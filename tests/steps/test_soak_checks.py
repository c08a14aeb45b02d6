"""Steps for what a soak judges."""

from __future__ import annotations

import asyncio
import collections
import random
import signal
import subprocess
import time
import types
import typing
from unittest import mock

import behave

from soak import callers
from soak import checks
from soak import clients
from soak import deployments
from soak import disturbances
from soak import memory
from soak import report
from soak import run
from soak import unread
from soak import world as worlds
from standins import fleet

BEGAN = 1000.0
WATCHED_S = 0.5
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


def _world(*events: worlds.Event) -> worlds.World:
    return worlds.World(types.SimpleNamespace(), events=list(events))


def _request(number: int = 0, method: str = 'GET') -> clients.Request:
    request = clients.Request(
        f'r{number}', 'caller-vm', method, '/read/a', 1.0, 3.0
    )
    request.sent_at = request.last_byte_at = BEGAN + 1
    request.ended_at = BEGAN + 1.5
    return request


def _findings(
    context: typing.Any, requests: list[clients.Request]
) -> list[checks.Finding]:
    spans = {item.identity: [[BEGAN + 1.1, 0.0]] for item in requests}
    context.world.reports.append(('target-vm', {'spans': spans}))
    return checks.judge(context.world, requests)


@behave.given(
    'a soak in which {trouble} was done beside the SIGTERM of a node'
)
def given_term(context: typing.Any, trouble: str) -> None:
    trouble, _, place = trouble.partition(' at its ')
    vm = {'busy': '*', 'crash': 'target-vm'}.get(trouble, 'caller-vm')
    vm = f'{place}-vm' if place else vm
    context.world = _world(
        worlds.Event('term', 'caller-vm', BEGAN, BEGAN + 3),
        worlds.Event(trouble, vm, BEGAN, BEGAN + 1.5),
    )


@behave.when(
    'the node answers a {method:w} that runs at another VM with {status:d}'
)
def when_answered(context: typing.Any, method: str, status: int) -> None:
    request = _request(method=method)
    request.status = status
    context.findings = _findings(context, [request])


@behave.then('the soak finds {count:d} problems')
def then_problems(context: typing.Any, count: int) -> None:
    found = checks.problems(context.world, context.findings)
    assert len(found) == count, found


@behave.given('a soak in which {trouble} was done to {vm} beside requests')
def given_trouble(context: typing.Any, trouble: str, vm: str) -> None:
    context.world = _world(worlds.Event(trouble, vm, BEGAN, BEGAN + 1.5))


@behave.when(
    'the node of caller-vm closes {count:d} {kind:w} connections after a run'
)
def when_closed(context: typing.Any, count: int, kind: str) -> None:
    requests = [_request(number) for number in range(count)]
    for request in requests:
        request.is_kept = kind == 'kept'
    context.findings = _findings(context, requests)


@behave.then('the soak counts {count:d} closes by nodes in touch')
def then_counted(context: typing.Any, count: int) -> None:
    closes = checks.in_touch(context.world, context.findings)
    assert len(closes) == count, closes


@behave.then('a rule on them is {result:w}')
def then_rule(context: typing.Any, result: str) -> None:
    found = checks.problems(context.world, context.findings)
    is_broken = any(checks.IN_TOUCH in text for text in found)
    assert is_broken == (result == 'broken'), found


@behave.given('a soak that was held up for {seconds:g} s')
def given_lag(context: typing.Any, seconds: float) -> None:
    context.world = _world()
    context.world.lags.append((BEGAN + 1, BEGAN + 1 + seconds))


@behave.then(
    'requests that ended after {seconds:g} s without an answer {verb} late'
)
def then_late(context: typing.Any, seconds: float, verb: str) -> None:
    request = _request()
    request.ended_at = request.sent_at + seconds
    label = checks.classify(context.world, request, [])
    assert (label == checks.CLOSED_LATE) == (verb == 'are'), label


@behave.given('a soak of two VMs of which {count:d} are held')
def given_held(context: typing.Any, count: int) -> None:
    context.signals = []
    node = types.SimpleNamespace(signal=context.signals.append)
    context.world = _world()
    context.world.random = random.Random(1)
    names = ('vm-1', 'vm-2')
    context.world.vms = {
        name: types.SimpleNamespace(node=node) for name in names
    }
    context.world.held = set(names[:count])


@behave.when('SIGHUP is sent to a node that is left alone')
def when_hup(context: typing.Any) -> None:
    context.run(disturbances.hup(context.world))


@behave.then('{count:d} nodes have got it')
def then_got(context: typing.Any, count: int) -> None:
    assert context.signals == [signal.SIGHUP] * count, context.signals
    done = [(event.kind, event.vm) for event in context.world.events]
    assert len(done) == count, done
    assert all(vm not in context.world.held for _, vm in done), done


@behave.when('a client sends bytes that the other end does not read')
def when_unread(context: typing.Any) -> None:
    context.seen = context.run(_look_at_unread())


async def _look_at_unread() -> list[bool]:
    """Return what is seen before and after the other end reads."""
    accepted: asyncio.Queue = asyncio.Queue()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.transport.pause_reading()
        await accepted.put((reader, writer))

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = server.sockets[0].getsockname()
    _, writer = await asyncio.open_connection(*address)
    far_reader, far_writer = await accepted.get()
    writer.write(b'some bytes')
    seen = [unread.has_unread(writer)]
    far_writer.transport.resume_reading()
    await far_reader.readexactly(10)
    seen.append(unread.has_unread(writer))
    writer.close()
    far_writer.close()
    server.close()
    return seen


@behave.then('they are unread until it reads them')
def then_unread(context: typing.Any) -> None:
    assert context.seen == [True, False], context.seen


@behave.when('a caller leaves the node of caller-vm at its deadline')
def when_left(context: typing.Any) -> None:
    request = _request()
    request.ended_at = request.sent_at + request.deadline_s
    request.error = 'no answer'
    context.findings = _findings(context, [request])


@behave.given(
    'a soak in which {trouble:w} was done to {vm} {before:g} s before a '
    'request'
)
def given_trouble_before(
    context: typing.Any, trouble: str, vm: str, before: float
) -> None:
    began = _request().sent_at - before
    context.world = _world(worlds.Event(trouble, vm, began, began + 3))


@behave.when('a caller leaves at its deadline and a target {ran} it')
def when_left_beside(context: typing.Any, ran: str) -> None:
    request = _request()
    request.ended_at = request.sent_at + request.deadline_s
    request.error = 'no answer'
    ends = {
        'was at work at the end on': request.ended_at + 0.04,
        'had ended': request.ended_at - 0.04,
    }
    if ran in ends:
        spans = {request.identity: [[BEGAN + 1.1, ends[ran]]]}
        context.world.reports.append(('target-vm', {'spans': spans}))
    context.findings = checks.judge(context.world, [request])


@behave.given(
    'a soak that was held up for {seconds:g} s, {offset:g} s after the request'
)
def given_lag_beside(
    context: typing.Any, seconds: float, offset: float
) -> None:
    context.world = _world()
    began = BEGAN + 1 + offset
    context.world.lags.append((began, began + seconds))


@behave.when(
    'a caller leaves the node of caller-vm with {count:d} bytes of an answer'
)
def when_left_after(context: typing.Any, count: int) -> None:
    request = _request()
    request.ended_at = request.sent_at + request.deadline_s
    request.error, request.received = 'no answer', count
    context.requests = [request]


@behave.then('the soak counts {count:d} requests without an answer strictly')
def then_strictly(context: typing.Any, count: int) -> None:
    found = checks.strict(context.world, context.requests)
    labels = [key.partition(' |')[0] for key in found.elements()]
    assert labels == [checks.NO_ANSWER] * count, found


@behave.then('the soak counts a close after {seconds:g} s strictly as late')
def then_strictly_late(context: typing.Any, seconds: float) -> None:
    request = _request()
    request.ended_at = request.sent_at + seconds
    assert not checks.classify(context.world, request, [])
    (key,) = checks.strict(context.world, [request])
    assert key.startswith(checks.CLOSED_LATE), key


@behave.when('requests end with {ends}')
def when_ended(context: typing.Any, ends: str) -> None:
    context.requests = []
    for number, error in enumerate(ends.split(', ')):
        request = _request(number)
        request.error = error
        context.requests.append(request)


@behave.then('{count:d} closes are told')
def then_told(context: typing.Any, count: int) -> None:
    found = checks.closes(context.requests)
    assert len(found) == count, found


@behave.then('{count:d} of the requests after 1 and 2 s are sent during start')
def then_sent_during(context: typing.Any, count: int) -> None:
    requests = [_request(0), _request(1)]
    requests[1].sent_at += 1
    found = checks.sent_during(context.world, requests, 'start')
    assert found == requests[:count], found


@behave.when('a node replies {status:d} with {left_s:g} s left')
def when_replied(context: typing.Any, status: int, left_s: float) -> None:
    request = _request()
    request.status = status
    request.ended_at = request.sent_at + request.deadline_s - left_s
    context.replies = checks.replies_at_deadline([request])


@behave.then('{count:d} replies at a deadline are counted')
def then_times(context: typing.Any, count: int) -> None:
    assert len(context.replies) == count, context.replies


@behave.when('the node of caller-vm closes a connection late, without a run')
def when_closed_late(context: typing.Any) -> None:
    context.findings = checks.judge(context.world, [_request()])


@behave.when(
    'a {method:w} that has run {count:d} times is answered with {status:d}'
)
def when_run(
    context: typing.Any, method: str, count: int, status: int
) -> None:
    request = _request(method=method)
    request.status = status
    spans = [[BEGAN + 1.1, BEGAN + 1.2]] * count
    context.world.reports.append(
        ('target-vm', {'spans': {request.identity: spans}})
    )
    context.findings = checks.judge(context.world, [request])


async def _exchange(
    answer: bytes, busy_s: float, limit_s: float
) -> typing.Any:
    """Return a request whose caller is held up, and how late it left."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(clients.HEAD_END)
        writer.write(answer)
        if busy_s:
            time.sleep(busy_s)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    reader, writer = await asyncio.open_connection(
        *server.sockets[0].getsockname()
    )
    request = _request()
    request.deadline_s = limit_s
    await clients.exchange(request, reader, writer, 0.0)
    writer.close()
    server.close()
    return request, request.ended_at - request.sent_at - limit_s


@behave.when(
    'a caller is held up past its deadline, beside an answer that has come'
)
def when_held_up(context: typing.Any) -> None:
    context.seen = context.run(_exchange(ANSWER, 0.3, 0.1))


@behave.then('it has the answer')
def then_answer(context: typing.Any) -> None:
    request, _ = context.seen
    assert (request.status, request.error) == (200, ''), request


@behave.when('a caller waits {limit_s:g} s for an answer that does not come')
def when_waiting(context: typing.Any, limit_s: float) -> None:
    context.seen = context.run(_exchange(b'', 0.0, limit_s))


@behave.then('it has left within {seconds:g} s of its deadline')
def then_left(context: typing.Any, seconds: float) -> None:
    request, late_s = context.seen
    assert request.error == 'no answer', request
    assert 0 <= late_s < seconds, late_s


def _placed(count: int) -> list[tuple[str, str]]:
    place = deployments.LONGER_DEADLINES.place
    return [place(number) for number in range(count)]


@behave.then(
    '{count:d} VMs with longer deadlines have {numbers} of the four services'
)
def then_layout(context: typing.Any, count: int, numbers: str) -> None:
    found = collections.Counter(service for _, service in _placed(count))
    names = deployments.LONGER_DEADLINES.services
    assert [found[name] for name in names] == [
        int(part) for part in numbers.split(', ')
    ], found


@behave.then('each service of {count:d} VMs has two domains at least')
def then_domains(context: typing.Any, count: int) -> None:
    placed = set(_placed(count))
    found = collections.Counter(service for _, service in placed)
    assert min(found.values()) >= 2, placed


@behave.then(
    'each service of {count:d} VMs with short deadlines has {domains:d} '
    'domains'
)
def then_spread(context: typing.Any, count: int, domains: int) -> None:
    place = deployments.SHORT_DEADLINES_OPEN.place
    placed = {place(number) for number in range(count)}
    found = collections.Counter(service for _, service in placed)
    services = deployments.SHORT_DEADLINES_OPEN.services
    assert found == dict.fromkeys(services, domains), found


@behave.given('a soak in which a node took {seconds:g} s after SIGTERM')
def given_stop(context: typing.Any, seconds: float) -> None:
    context.world = _world(
        worlds.Event('term', 'caller-vm', BEGAN, BEGAN + seconds)
    )


@behave.when(
    'a request of 1 s after it ends {how} after {end_s:g} s, its run after '
    '{run_s:g} s'
)
def when_ended_late(
    context: typing.Any, how: str, end_s: float, run_s: float
) -> None:
    request = _request()
    request.deadline_s = request.route_limit_s = 9.0
    request.ended_at = BEGAN + end_s
    request.status = 504 if how == 'with a 504' else 0
    span = [BEGAN + 1.1, BEGAN + run_s if run_s else 0.0]
    context.world.reports.append(
        ('target-vm', {'spans': {request.identity: [span]}})
    )
    context.findings = checks.judge(context.world, [request])


@behave.when(
    'a request with {limit} of {limit_s:g} s ends {how} after {end_s:g} s'
)
def when_ended_near_limit(
    context: typing.Any, limit: str, limit_s: float, how: str, end_s: float
) -> None:
    request = _request()
    if limit == 'a deadline':
        request.deadline_s = limit_s
    else:
        request.route_limit_s = limit_s
    request.sent_at = request.last_byte_at = BEGAN
    request.ended_at = BEGAN + end_s
    request.status = 0 if how == 'unanswered' else int(how.split()[-1])
    context.findings = _findings(context, [request])


@behave.given(
    'a caller of two VMs, of which one {state}, that {verb:w} at {share:g}'
)
def given_caller(
    context: typing.Any, state: str, verb: str, share: float
) -> None:
    context.world = _world()
    context.world.vms = {
        name: types.SimpleNamespace(domain='vik') for name in ('one', 'other')
    }
    world = context.world
    states = {'stops': world.stopping, 'starts': world.starting}
    states.get(state, world.out).add('one')
    context.caller = callers.Caller(
        context.world, 'vik', 0, random.Random(1), {}
    )
    if verb == 'stays':
        context.caller.stay_share = share
    else:
        context.caller.start_share = share


@behave.when('it chooses {count:d} times, with open connections to {which:w}')
def when_chooses(context: typing.Any, count: int, which: str) -> None:
    caller = context.caller
    if which == 'both':
        reader = types.SimpleNamespace(at_eof=lambda: False)
        connection = callers.Connection(reader, None)
        caller.kept.update({name: [connection] for name in context.world.vms})
    context.chosen = [caller.choose() for _ in range(count)]


@behave.then('{low:d} to {high:d} choices are the one that {state}')
def then_chosen(context: typing.Any, low: int, high: int, state: str) -> None:
    count = context.chosen.count('one')
    assert low <= count <= high, count


@behave.when(
    'a kind of work of {work_s:g} s with a tail of {tail:g} is drawn '
    '{count:d} times'
)
def when_drawn(
    context: typing.Any, work_s: float, tail: float, count: int
) -> None:
    kind = deployments.Kind(
        'a', 'tonabok', 'GET', work_s, 2.0, spread=0.05, tail=tail
    )
    rng = random.Random(1)
    context.times = [kind.draw_work_s(rng) for _ in range(count)]


@behave.then('{low:d} to {high:d} times are longer than {seconds:g} s')
def then_longer(
    context: typing.Any, low: int, high: int, seconds: float
) -> None:
    count = sum(item > seconds for item in context.times)
    assert low <= count <= high, count


@behave.then('all requests of clients there keep their connections')
def then_all_kept(context: typing.Any) -> None:
    for deployment in (
        deployments.SHORT_DEADLINES_OPEN,
        deployments.LONGER_DEADLINES_OPEN,
    ):
        kinds = [kind for kind in deployment.kinds if kind.share]
        assert all(kind.is_kept for kind in kinds), kinds
        assert 'DELETE' in [kind.method for kind in kinds], kinds


@behave.given('a soak whose idle limit is {idle_ms:d} ms')
def given_idle(context: typing.Any, idle_ms: int) -> None:
    context.world = _world()
    context.world.next_document(idle_timeout_ms=idle_ms)
    context.world.note_applied(context.world.version)


@behave.when(
    'configurations with a limit of {idle_ms:d} ms, and without one, are sent'
)
def when_sent(context: typing.Any, idle_ms: int) -> None:
    context.world.next_document(idle_timeout_ms=idle_ms)
    context.first = context.world.version
    document = context.world.next_document()
    assert document['limits']['idle_timeout_ms'] == idle_ms, document


@behave.when('the first of them is applied')
def when_first_applied(context: typing.Any) -> None:
    context.world.note_applied(context.first)


@behave.when('the last of them is applied')
def when_last_applied(context: typing.Any) -> None:
    context.world.note_applied(context.world.version)


@behave.then('callers rely on {idle_ms:d} ms')
def then_rely(context: typing.Any, idle_ms: int) -> None:
    assert context.world.idle_timeout_ms == idle_ms


def _result(late_s: float, *problems: str) -> run.Result:
    return run.Result([], [], list(problems), '', late_s)


@behave.when('a soak that was late by {late_s:g} s has found {problem}')
def when_found(context: typing.Any, late_s: float, problem: str) -> None:
    problems = [] if problem == 'nothing' else [problem]
    context.result = _result(late_s, *problems)


@behave.then('it ends with {code:d}')
def then_ends(context: typing.Any, code: int) -> None:
    assert context.result.exit_code == code, context.result.exit_code


@behave.then(
    'the report of a soak that was late by {late_s:g} s begins with {words}'
)
def then_begins(context: typing.Any, late_s: float, words: str) -> None:
    line = report.lateness(late_s, 3)
    assert line.startswith(words), line


@behave.when('soaks with {count:d} callers and fewer end with {codes}')
def when_played(context: typing.Any, count: int, codes: str) -> None:
    results = {
        '0': _result(0.0),
        '1': _result(0.0, checks.NO_ANSWER),
        '2': _result(1.0),
    }
    left = [results[code] for code in codes.split(', ')]
    context.used = []

    async def play(callers: int) -> run.Result:
        context.used.append(callers)
        return left.pop(0)

    played = context.run(run.play_on_time(play, count))
    assert not left, left
    assert len(played) == len(context.used), played


@behave.then('{counts} callers have been used')
def then_used(context: typing.Any, counts: str) -> None:
    expected = [int(count) for count in counts.split(', ')]
    assert context.used == expected, context.used


@behave.then('{nodes:d} nodes have {count:d} callers each with the mix {mix}')
def then_callers(
    context: typing.Any, nodes: int, count: int, mix: str
) -> None:
    assert run.usual_callers(mix, nodes) == count


@behave.given(
    'a soak that started the node of {vm} {offset:g} s before a request'
)
def given_started(context: typing.Any, vm: str, offset: float) -> None:
    context.world = _world()
    context.world.starts.append((vm, _request().sent_at - offset))


@behave.when('the request ends with {end}')
def when_ends(context: typing.Any, end: str) -> None:
    request = _request()
    if end.startswith('a '):
        request.status = int(end.split()[-1])
        request.is_signed = 'signed' in end
    else:
        request.error = end
    context.found = checks.sent_at_start(context.world, [request])


@behave.then('the soak tells that callers got {outcome} there')
def then_outcome(context: typing.Any, outcome: str) -> None:
    expected = {} if outcome == 'no outcome' else {outcome: [0.5]}
    assert context.found == expected, context.found


@behave.given(
    'a soak of {count:d} nodes that take {seconds:g} s for a stop and start'
)
def given_nodes(context: typing.Any, count: int, seconds: float) -> None:
    async def stop(world: worlds.World, name: str, pause_s: float) -> None:
        assert pause_s == 0, pause_s
        context.running.append(name)
        context.most = max(context.most, len(context.running))
        context.signals.append(name)
        await asyncio.sleep(seconds)

    async def wait(world: worlds.World, name: str) -> None:
        context.running.remove(name)

    context.most, context.running, context.signals = 0, [], []
    context.acts = {'stop_and_start': stop, 'wait_ready': wait}
    context.world = _world()
    vm = types.SimpleNamespace(service='tonabok')
    context.world.vms = {f'vm-{number}': vm for number in range(count)}


@behave.given('two of them have a service of their own')
def given_small_service(context: typing.Any) -> None:
    for name in ('vm-0', 'vm-6'):
        context.world.vms[name] = types.SimpleNamespace(service='trucks')


@behave.when('all are stopped in turn with a gap of {gap_s:g} s')
def when_in_turn(context: typing.Any, gap_s: float) -> None:
    with mock.patch.multiple(disturbances, **context.acts, GAP_S=gap_s):
        act = disturbances.stop_in_turn(context.world)
        context.run(asyncio.wait_for(act, 10))


@behave.then('each has got SIGTERM once, and {most:d} at a time')
def then_in_turn(context: typing.Any, most: int) -> None:
    assert context.signals == list(context.world.vms), context.signals
    assert context.most == most, context.most
    assert not context.world.held, context.world.held


@behave.then('{count:d} VMs with the mix {mix} leave {services} without a VM')
def then_missing(
    context: typing.Any, count: int, mix: str, services: str
) -> None:
    missing = run.MIXES[mix].deployment.missing(count)
    told = ', '.join(sorted(missing)) or 'none'
    assert told == services, missing


@behave.when('a soak of {count:d} nodes with the mix {mix} is started')
def when_started(context: typing.Any, count: int, mix: str) -> None:
    world = _world()
    world.deployment = run.MIXES[mix].deployment
    try:
        context.run(world.start(count, has_proxies=False))
    except ValueError as error:
        context.said = str(error)


@behave.then('it says that {service} has no VM')
def then_said(context: typing.Any, service: str) -> None:
    assert service in context.said, context.said


@behave.given('a soak with a node that {stops}')
def given_node(context: typing.Any, stops: str) -> None:
    processes = context.run(
        context.stack.enter_async_context(fleet.Fleet.open())
    )
    node = processes.start('vm-1', '-c', 'input()', stdin=subprocess.PIPE)
    (processes.folder / 'vm-1.log').touch()
    context.findings = []
    context.world = worlds.World(processes)
    context.world.vms['vm-1'] = types.SimpleNamespace(node=node)
    context.world.stopping = {'vm-1'} if stops == 'stops' else set()


@behave.when('a node may use {megabytes:d} MB and its memory is watched')
def when_watched(context: typing.Any, megabytes: int) -> None:
    context.world.memory_mb = megabytes

    async def act() -> None:
        until = asyncio.Event()
        watching = asyncio.create_task(memory.watch(context.world, until))
        await asyncio.sleep(WATCHED_S)
        until.set()
        await watching

    with mock.patch.object(
        worlds.World, 'start_node', autospec=True
    ) as start_node:
        context.run(act())
    context.starts = start_node.call_args_list


@behave.then(
    'it was {ended} and {started}, and the soak finds {count:d} problems'
)
def then_ended(
    context: typing.Any, ended: str, started: str, count: int
) -> None:
    code = context.world.vms['vm-1'].node.popen.poll()
    assert code == (-signal.SIGKILL if ended == 'killed' else None), code
    expected = (
        [mock.call(context.world, 'vm-1')] if started == 'started' else []
    )
    assert context.starts == expected, context.starts
    assert context.world.peaks_kb['vm-1'] > 0
    then_problems(context, count)
