"""Steps for calls at a node that has just started, in simulated time."""

from __future__ import annotations

import asyncio
import math
import types
import typing

import async_solipsism
import behave

from benchmarks.model import clock
from pomelobend import calls
from pomelobend import errors
from pomelobend.http import message
from pomelobend.membership import member as members
from pomelobend.mesh import front as fronts
from pomelobend.mesh import grace as graces
from pomelobend.metrics import counters
from pomelobend.platform import decode
from pomelobend.routing import budget as budgets
from pomelobend.routing import call as call_module
from pomelobend.routing import delivery as deliveries
from pomelobend.routing import placement
from pomelobend.routing import quarantine as quarantines
from pomelobend.routing import startup as startups
from pomelobend.routing import table as tables
from standins import mesh

PRECISION_S = 0.03


class Remote:
    """The targets of other nodes, known from certain times on."""

    def __init__(self) -> None:
        self.known: list[members.Member] = []
        self.refusing: set[str] = set()
        self.sent = 0
        self.refuses_after_s = 0.0

    def learn(self, node: str) -> None:
        """Make a target known."""
        self.known.append(
            members.Member(
                node,
                1,
                0,
                'vik',
                f'{node}:1',
                'tonabok',
                'v1',
                members.State.SERVING,
                6,
            )
        )

    def candidates(
        self, call: call_module.Call, tried: typing.Container[str]
    ) -> list[members.Member]:
        """Return the known targets that have not been tried."""
        return [member for member in self.known if member.node not in tried]

    async def call(
        self,
        call: call_module.Call,
        member: members.Member,
        stats: typing.Any,
        on_silent: typing.Any = None,
    ) -> calls.Answer:
        """Answer a call at once, or refuse it, maybe later."""
        self.sent += 1
        if member.node in self.refusing:
            await asyncio.sleep(self.refuses_after_s)
            raise errors.CallRefusedError(errors.Reason.OVERLOADED)
        return calls.Answer(200, [], b'')


def build_front(
    own_clock: clock.LoopClock,
    state: typing.Any,
    remote: Remote,
) -> fronts.Front:
    """Return the front of a node that starts now."""
    startup = startups.StartupWait.from_clock(own_clock)
    counts = counters.Counters()
    delivery = deliveries.Delivery(
        'own',
        remote,
        placement.Placer('vik', own_clock.monotonic),
        None,
        remote,
        budgets.Budgets(0.2, 60, 10.0, lambda: 1),
        quarantines.Quarantine(own_clock.monotonic),
        own_clock,
        counts,
        startup,
    )
    return fronts.Front(
        'steypudagar',
        own_clock,
        state,
        delivery,
        counts,
        startup,
        graces.Grace(own_clock),
    )


def route_table(objective_ms: int) -> tables.RouteTable:
    """Return a configuration whose routes have an objective."""
    document = mesh.configuration(2)
    for rule in document['listeners'][0]['rules']:
        rule['target_latency_ms'] = objective_ms
    return decode.route_table(document)


def given_start(
    context: typing.Any,
    table: tables.RouteTable | None,
    learn: typing.Callable[[], None],
    known_s: float,
) -> None:
    """Start a node that learns of something after a time."""
    context.loop.close()
    context.loop = async_solipsism.EventLoop()
    context.run = context.loop.run_until_complete
    context.state = types.SimpleNamespace(table=table, version=2)
    context.remote = Remote()
    context.replies = []

    async def start() -> None:
        context.clock = clock.LoopClock()
        context.front = build_front(
            context.clock, context.state, context.remote
        )
        asyncio.get_running_loop().call_later(known_s, learn)

    context.run(start())


@behave.given('a node that starts and learns of a target after {known_s:f} s')
def given_target(context: typing.Any, known_s: float) -> None:
    given_start(
        context,
        route_table(500),
        lambda: context.remote.learn('near'),
        known_s,
    )


@behave.given(
    'a node that starts and learns of a configuration after {known_s:f} s'
)
def given_configuration(context: typing.Any, known_s: float) -> None:
    def learn() -> None:
        context.state.table = route_table(500)

    given_start(context, None, learn, known_s)
    context.remote.learn('near')


@behave.given('run times that are {known}')
def given_run_times(context: typing.Any, known: str) -> None:
    run_times = context.front.delivery.placer.route_times
    seconds = {
        'not known': [],
        'close to 0 s': [1e-4],
        '2 s': [2.0],
        '0.16 s': [0.16],
    }[known]
    for run_s in 40 * seconds:
        run_times.note('lookup', math.log(run_s))


@behave.given('one target, which takes {share:g} of them')
def given_speed(context: typing.Any, share: float) -> None:
    placer = context.front.delivery.placer
    (member,) = context.remote.known
    stats = placer.stats(member)
    for _ in range(40):
        stats.note_answer(math.log(share))


@behave.given('targets that refuse calls after {seconds:g} s')
def given_refusing(context: typing.Any, seconds: float) -> None:
    context.remote.refusing.update(m.node for m in context.remote.known)
    context.remote.refuses_after_s = seconds


@behave.then('it has {reached} a target')
def then_reached(context: typing.Any, reached: str) -> None:
    sent = {'reached': 1, 'not reached': 0}[reached]
    assert context.remote.sent == sent, context.remote.sent


@behave.given('it knows an overloaded target from the start')
def given_overloaded(context: typing.Any) -> None:
    context.remote.learn('full')
    context.remote.refusing.add('full')


async def call(
    context: typing.Any,
    at_s: float,
    deadline_s: float,
    waited_s: float = 0.0,
) -> tuple[int, float]:
    """Send a call some time after the start; return status and duration.

    It may have waited before it is read.
    """
    await asyncio.sleep(at_s)
    request = message.Request(
        'GET',
        b'/lookup/a',
        [
            ('host', 'bells.example'),
            ('x-attempt-id', 'one'),
            ('x-deadline-ms', str(round(deadline_s * 1000))),
        ],
        b'',
        True,
        context.clock.monotonic() - waited_s,
    )
    sent_at = context.clock.monotonic()
    reply = await context.front.answer(request)
    now = context.clock.monotonic()
    context.replies.append((reply, deadline_s - waited_s - (now - sent_at)))
    return reply.status, now - sent_at


@behave.when(
    'a call with an objective of 0.5 s arrives {at_s:f} s after the start'
)
def when_objective(context: typing.Any, at_s: float) -> None:
    context.found = context.run(call(context, at_s, 3.0))


@behave.when(
    'a call with a deadline of {deadline_s:f} s arrives {at_s:f} s after the '
    'start'
)
def when_deadline(context: typing.Any, deadline_s: float, at_s: float) -> None:
    context.found = context.run(call(context, at_s, deadline_s))


@behave.when(
    'a call with a deadline of {deadline_s:f} s is read {waited_s:f} s after '
    'it came'
)
def when_read(context: typing.Any, deadline_s: float, waited_s: float) -> None:
    context.left_s = deadline_s - waited_s
    context.found = context.run(call(context, 0.01, deadline_s, waited_s))


@behave.then('it is refused before its caller leaves')
def then_before(context: typing.Any) -> None:
    status, took_s = context.found
    assert status == 503, context.found
    assert took_s < context.left_s, (context.found, context.left_s)


@behave.when(
    'a call with an objective of 0.5 s is read {at_s:f} s after the start, '
    'having waited for {waited_s:f} s'
)
def when_waited(context: typing.Any, at_s: float, waited_s: float) -> None:
    context.found = context.run(call(context, at_s, 3.0, waited_s))


@behave.when(
    '{count:d} calls with a deadline of {deadline_s:f} s are read {at_s:f} s '
    'after the start, having waited for {waited_s:f} s'
)
def when_all_waited(
    context: typing.Any,
    count: int,
    deadline_s: float,
    at_s: float,
    waited_s: float,
) -> None:
    async def act() -> None:
        await asyncio.gather(
            *(call(context, at_s, deadline_s, waited_s) for _ in range(count))
        )

    context.run(act())


@behave.then('all are refused until at most a third of what is left to them')
def then_third(context: typing.Any) -> None:
    for reply, left_s in context.replies:
        assert reply.status == 503, reply
        wait_s = float(dict(reply.headers)['retry-after'])
        assert wait_s <= left_s / 3 + 0.001, (wait_s, left_s)


@behave.then('it is {outcome} after {held_s:f} s')
def then_outcome(context: typing.Any, outcome: str, held_s: float) -> None:
    status, took_s = context.found
    assert status == {'sent': 200, 'refused': 503}[outcome], context.found
    assert abs(took_s - held_s) <= PRECISION_S, context.found


@behave.when(
    '{count:d} calls with an objective of 0.5 s arrive evenly in the first '
    '{seconds:f} s'
)
def when_many(context: typing.Any, count: int, seconds: float) -> None:
    async def act() -> None:
        context.found = await asyncio.gather(
            *(
                call(context, number * seconds / count, 3.0)
                for number in range(count)
            )
        )

    context.run(act())


@behave.then('at least {least:d} of them are sent, each within {held_s:f} s')
def then_sent(context: typing.Any, least: int, held_s: float) -> None:
    context.held_s = [s for status, s in context.found if status == 200]
    assert len(context.held_s) >= least, context.found
    assert max(context.held_s) <= held_s, context.found


@behave.then('run times of {run_s:f} s would leave all of them in time')
def then_in_time(context: typing.Any, run_s: float) -> None:
    assert all(held_s + run_s <= 0.5 for held_s in context.held_s)
