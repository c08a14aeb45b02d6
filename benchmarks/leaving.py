"""Callers that leave at their deadline, in a process of their own.

It reads a plan as JSON from standard input and prints one JSON object: for
each call its deadline, the monotonic time at which it was sent, the time that
passed until its whole answer had arrived, and the status; how late its own
event loop was; and how long the node took for a request that needs no work,
which tells how late the loop of the node is.

Callers stay ``STAY_S`` past their deadline, so that it is known by how much
an answer comes too late. A call without one by then has None.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
import typing

import attrs

STAY_S = 0.4
LOOK_S = 0.01
LATE_S = 0.005
PROBE_S = 0.1
HEAD_END = b'\r\n\r\n'


class Answer(asyncio.Protocol):
    """Waits for one whole answer."""

    def __init__(self) -> None:
        self.data = b''
        self.done = asyncio.get_running_loop().create_future()

    def data_received(self, data: bytes) -> None:
        """Note when the answer is complete."""
        self.data += data
        head, end, body = self.data.partition(HEAD_END)
        if end and len(body) >= _body_length(head) and not self.done.done():
            self.done.set_result((time.monotonic(), int(head.split()[1])))

    def connection_lost(self, error: Exception | None) -> None:
        """End the wait."""
        if not self.done.done():
            self.done.set_result((None, 0))


def _body_length(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0


@attrs.define
class Records:
    """What the callers saw.

    Parameters
    ----------
    calls : list of list
        Deadline in s, time of sending, time until the answer, status and
        whether the answer is a target's.
    late_s, probe_s : list of float
    late_spans : list of list of float
        Monotonic times between which the callers' loop stood still.
    """

    calls: list[list] = attrs.field(factory=list)
    late_s: list[float] = attrs.field(factory=list)
    probe_s: list[float] = attrs.field(factory=list)
    late_spans: list[list[float]] = attrs.field(factory=list)


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return host, int(port)


async def _call(
    plan: dict[str, typing.Any], deadline_s: float, records: Records
) -> None:
    """Send one call and record its answer."""
    loop = asyncio.get_running_loop()
    transport, answer = await loop.create_connection(
        Answer, *_address(plan['address'])
    )
    number = f'{len(records.calls)}-{time.monotonic_ns()}'
    lines = [
        f'{plan["method"]} {plan["path"]} HTTP/1.1',
        f'host: {plan["host"]}',
        'content-length: 0',
        f'x-attempt-id: {number}',
        f'x-deadline-ms: {round(deadline_s * 1000)}',
        f'x-work-s: {plan["work_s"]}',
    ]
    sent_at = time.monotonic()
    transport.write('\r\n'.join([*lines, '', '']).encode())
    answered_at, status = None, 0
    try:
        async with asyncio.timeout(deadline_s + STAY_S):
            answered_at, status = await answer.done
    except TimeoutError:
        pass
    transport.close()
    took_s = None if answered_at is None else answered_at - sent_at
    is_of_target = b'x-response-signature' in answer.data.lower()
    records.calls.append([deadline_s, sent_at, took_s, status, is_of_target])


async def _watch_own_loop(records: Records) -> None:
    while True:
        due = time.monotonic() + LOOK_S
        await asyncio.sleep(LOOK_S)
        now = time.monotonic()
        records.late_s.append(now - due)
        if now - due > LATE_S:
            records.late_spans.append([due, now])


async def _probe(address: str, path: str, records: Records) -> None:
    """Ask the node again and again for what needs no work."""
    reader, writer = await asyncio.open_connection(*_address(address))
    request = f'GET {path} HTTP/1.1\r\nhost: node\r\n\r\n'.encode()
    while True:
        await asyncio.sleep(PROBE_S)
        began = time.monotonic()
        writer.write(request)
        head = await reader.readuntil(HEAD_END)
        await reader.readexactly(_body_length(head))
        records.probe_s.append(time.monotonic() - began)


async def run(plan: dict[str, typing.Any]) -> Records:
    """Send the calls of a plan at its rate, rotating through deadlines."""
    records = Records()
    watchers = [
        asyncio.create_task(_watch_own_loop(records)),
        asyncio.create_task(_probe(plan['ready'], '/ready', records)),
    ]
    deadlines_s = plan['deadlines_s']
    calls = []
    start_at = time.monotonic()
    for index in range(int(plan['rate'] * plan['seconds'])):
        due = start_at + index / plan['rate']
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        deadline_s = deadlines_s[index % len(deadlines_s)]
        calls.append(asyncio.create_task(_call(plan, deadline_s, records)))
    await asyncio.gather(*calls)
    for watcher in watchers:
        watcher.cancel()
    return records


def main() -> None:
    """Read a plan, send its calls and print what the callers saw."""
    records = asyncio.run(run(json.load(sys.stdin)))
    print(json.dumps(attrs.asdict(records)))


if __name__ == '__main__':
    main()
