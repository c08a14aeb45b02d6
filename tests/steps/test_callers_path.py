"""Steps of the way of a call through separate processes."""

from __future__ import annotations

import asyncio
import json
import pathlib
import typing

import aiohttp
import behave

from pomelobend import config
from tests.steps import fleet

PAGE_BYTES = 4096


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


@behave.when('{method} {path} is sent to {node}')
def when_sent(context: typing.Any, method: str, path: str, node: str) -> None:
    context.status, context.headers, context.body = context.run(
        fleet.call(context, node, method, path)
    )


@behave.then('the status is {status:d}')
def then_status(context: typing.Any, status: int) -> None:
    assert context.status == status, (context.status, context.body)


@behave.then('the answer names the path {path}')
def then_path(context: typing.Any, path: str) -> None:
    assert json.loads(context.body)['path'] == path, context.body


@behave.then('no header of the answer is empty')
def then_no_empty_header(context: typing.Any) -> None:
    assert all(context.headers.values()), context.headers


@behave.then('the call is refused with {reason} and {run}')
def then_refused(context: typing.Any, reason: str, run: str) -> None:
    found = (
        context.headers['pomelobend-refused'],
        context.headers['pomelobend-run'],
    )
    assert found == (reason, run), found


@behave.when(
    '{sent:d} bytes are put to {path} through {node} and {back:d} come back'
)
def when_put(
    context: typing.Any, sent: int, path: str, node: str, back: int
) -> None:
    context.status, context.headers, context.body = context.run(
        fleet.call(
            context,
            node,
            'PUT',
            path,
            data=b'a' * sent,
            headers={'x-answer-bytes': str(back)},
        )
    )


@behave.then('the answer has {size:d} bytes')
def then_size(context: typing.Any, size: int) -> None:
    assert len(context.body) == size, len(context.body)


@behave.when('the memory of {node} is noted')
def when_memory_noted(context: typing.Any, node: str) -> None:
    pid = context.fleet.nodes[node].process.popen.pid
    context.memory = resident_bytes(pid)


@behave.when(
    '{count:d} bodies of {size:d} bytes pass through {node} at once at a '
    'slow target'
)
def when_many_bodies(
    context: typing.Any, count: int, size: int, node: str
) -> None:
    pid = context.fleet.nodes[node].process.popen.pid
    context.highest = context.memory

    async def watch() -> None:
        while True:
            context.highest = max(context.highest, resident_bytes(pid))
            await asyncio.sleep(0.02)

    async def send() -> None:
        watching = asyncio.create_task(watch())
        headers = {'x-answer-bytes': str(size), 'x-pause-s': '0.005'}
        results = await asyncio.gather(
            *(
                fleet.call(
                    context,
                    node,
                    'PUT',
                    '/tonabok/archive',
                    data=b'a' * size,
                    headers=headers,
                )
                for _ in range(count)
            )
        )
        watching.cancel()
        whole = [r for r in results if len(r[2]) == size]
        assert len(whole) >= 1, [r[0] for r in results]

    context.run(send())


@behave.then('the memory of {node} has grown by less than {size:d} bytes')
def then_memory(context: typing.Any, node: str, size: int) -> None:
    assert context.highest - context.memory < size, (
        context.highest - context.memory
    )


@behave.when('a call through {node} takes 5 s and {count:d} others follow it')
def when_slow_and_others(context: typing.Any, node: str, count: int) -> None:
    async def send() -> None:
        slow = asyncio.create_task(
            fleet.call(
                context,
                node,
                'GET',
                '/tonabok/archive/slow',
                headers={'x-work-s': '5'},
            )
        )
        await asyncio.sleep(0.3)
        others = [
            await fleet.call(context, node, 'GET', f'/tonabok/{index}')
            for index in range(count)
        ]
        context.is_slow_open = not slow.done()
        context.others = [status for status, *_ in others]
        assert (await slow)[0] == 200

    context.run(send())


@behave.then('the {count:d} others are answered before the slow one')
def then_others(context: typing.Any, count: int) -> None:
    assert context.is_slow_open
    assert context.others == [200] * count, context.others


@behave.when(
    'the target breaks off {kind} answer of {size:d} bytes through {node}'
)
def when_broken_answer(
    context: typing.Any, kind: str, size: int, node: str
) -> None:
    headers = {
        'x-answer-bytes': str(size),
        'x-fault': 'half-answer',
        'x-chunked': 'true' if kind == 'a chunked' else 'false',
    }
    try:
        context.seen = context.run(
            fleet.call(
                context, node, 'GET', '/tonabok/archive', headers=headers
            )
        )
    except aiohttp.ClientError as error:
        context.seen = error


@behave.then('the caller sees a broken answer')
def then_broken(context: typing.Any) -> None:
    assert isinstance(context.seen, aiohttp.ClientPayloadError), context.seen


@behave.when('a caller breaks off a body through {node}')
def when_caller_breaks_off(context: typing.Any, node: str) -> None:
    host, port = config.split_address(context.fleet.nodes[node].callers)

    async def send() -> None:
        _, writer = await asyncio.open_connection(host, port)
        writer.write(
            b'PUT /tonabok/archive HTTP/1.1\r\nHost: a\r\n'
            b'Content-Length: 1000000\r\n\r\n' + b'a' * 200_000
        )
        await writer.drain()
        await asyncio.sleep(0.3)
        writer.transport.abort()

    context.run(send())


@behave.then('no call stays in flight at {one} and {other}')
def then_none_in_flight(context: typing.Any, one: str, other: str) -> None:
    async def is_idle() -> bool:
        states = [await context.fleet.status(name) for name in (one, other)]
        return all(state.get('in_flight') == 0 for state in states)

    context.run(context.fleet.until(is_idle, fleet.START_S))


@behave.when('calls go from n2 to n1 and from n3 to n2 and back')
def when_all_ways(context: typing.Any) -> None:
    async def send() -> None:
        for index in range(30):
            for node in ('n1', 'n2', 'n3'):
                await fleet.call(context, node, 'GET', f'/tonabok/{index}')
                await fleet.call(context, node, 'POST', '/innborgun/1')

    context.run(send())


@behave.then('no node has more connections than other nodes')
def then_connections(context: typing.Any) -> None:
    others = len(context.fleet.nodes) - 1
    for node in context.fleet.nodes:
        found = context.run(fleet.metrics(context, node))
        assert found['pomelobend_connections'] <= others, (node, found)
