"""Simulated calls of many teams to one target, without a network.

Each call is offered once: one that is refused is not sent again.
"""

from __future__ import annotations

import asyncio
import collections
import math
import random
import typing

import async_solipsism
import attrs

from benchmarks.model import clock as model_clock
from pomelobend.admission import team_order
from tests.steps import test_admission_gate as gate_steps

if typing.TYPE_CHECKING:
    from pomelobend.routing import call as calls

TEAMS = 80
LARGE = 4
LARGE_SHARE = 0.5
"""Share of the usual load that the large teams send together."""

FLOOD = 5
SLOTS = 12
"""Slots of the target, whose capacity is 75 calls per second."""

RUN_S = 0.16
RUN_SPREAD = 0.3
OBJECTIVE_MS = 500
DEADLINE_S = 1.2
SECONDS = 60.0


class DueTimes(team_order.TeamOrder):
    """No fairness: calls of all teams start by their due times."""

    @property
    def is_used(self) -> bool:
        """Return that no call has a tag."""
        return False


class TokenShares(team_order.TeamOrder):
    """Fairness by tokens: each team earns an equal share of the slot time.

    The tag of a call is 0 if its team has tokens left, else 1. The shares are
    those of the teams that sent calls within ``WINDOW_S``; a team saves tokens
    for at most ``SAVED_S`` of slot time.
    """

    WINDOW_S = 2.0
    SAVED_S = 1.0

    def __init__(self) -> None:
        super().__init__()
        self.tokens: dict[str, float] = {}
        self.seen: dict[str, float] = {}
        self.earned_at = 0.0

    def note_offered(self, call: calls.Call, now: float) -> None:
        """Give each active team its tokens."""
        super().note_offered(call, now)
        self.seen[call.team] = now
        active = [
            team for team, at in self.seen.items() if now - at < self.WINDOW_S
        ]
        earned_s = (now - self.earned_at) * SLOTS / len(active)
        self.earned_at = now
        self.tokens = {
            team: min(self.SAVED_S, self.tokens.get(team, 0.0) + earned_s)
            for team in active
        }

    def next_tag(self, call: calls.Call, priority: int, run_s: float) -> float:
        """Return whether the team of a call is out of tokens."""
        return 0.0 if self.tokens.get(call.team, 0.0) > 0 else 1.0

    def note_served(self, call: calls.Call) -> None:
        """Take the tokens of a call."""
        super().note_served(call)
        self.tokens[call.team] = self.tokens.get(call.team, 0.0) - RUN_S

    def charge(
        self, call: calls.Call, priority: int, run_s: float, now: float
    ) -> None:
        """Charge nothing: tokens are taken when a call starts."""

    def refund(self, call: calls.Call, priority: int, run_s: float) -> None:
        """Refund nothing."""

    def note_started(
        self,
        call: calls.Call,
        priority: int,
        tag: float,
        run_s: float,
        teams: int,
    ) -> float:
        """Return the least tag: calls without tokens stay behind."""
        return 0.0


class StartTimes(team_order.TeamOrder):
    """Start-time fair queueing: the time is the last tag that has started."""

    def next_tag(self, call: calls.Call, priority: int, run_s: float) -> float:
        """Return a tag without a lead for bursts."""
        return super().next_tag(call, priority, 0.0)

    def note_started(
        self,
        call: calls.Call,
        priority: int,
        tag: float,
        run_s: float,
        teams: int,
    ) -> float:
        """Return the latest tag of a call that has started."""
        return super().note_started(call, priority, tag, 0.0, teams)


class EqualShares(team_order.TeamOrder):
    """Weighted fair queueing without a least share."""

    def _is_starved(self, call: calls.Call) -> bool:
        return False


ORDERS = {
    'weighted fair queueing': team_order.TeamOrder,
    'start-time fair queueing': StartTimes,
    'equal shares alone': EqualShares,
    'token shares': TokenShares,
    'due times': DueTimes,
}


@attrs.define
class Counts:
    """Calls of each team that were offered and served."""

    offered: collections.Counter = attrs.field(factory=collections.Counter)
    served: collections.Counter = attrs.field(factory=collections.Counter)

    @property
    def share(self) -> float:
        """Return the share of all calls that was served."""
        return self.served.total() / self.offered.total()

    def share_of(self, team: str) -> float:
        """Return the share of the calls of a team that was served."""
        return self.served[team] / self.offered[team]


def arrivals(
    load: float, flooding: str, seed: int
) -> list[tuple[float, str, float]]:
    """Return times, teams and run times of calls, in order.

    The calls of a team do not depend on those of other teams.

    Parameters
    ----------
    load : float
        Usual load of all teams, as a multiple of the capacity.
    flooding : str
        The team that sends five times its usual load, or an empty text.
    seed : int
    """
    per_s = load * SLOTS / RUN_S
    found = []
    for number in range(TEAMS):
        team = f'team-{number}'
        is_large = number < LARGE
        share = (
            LARGE_SHARE / LARGE
            if is_large
            else (1 - LARGE_SHARE) / (TEAMS - LARGE)
        )
        rate = per_s * share * (FLOOD if team == flooding else 1)
        rng = random.Random(f'{seed} {team}')
        time = rng.expovariate(rate)
        while time < SECONDS:
            run_s = RUN_S * rng.lognormvariate(0.0, RUN_SPREAD)
            found.append((time, team, run_s))
            time += rng.expovariate(rate)
    return sorted(found)


def play(
    order: team_order.TeamOrder, load: float, flooding: str, seed: int = 1
) -> Counts:
    """Offer the calls of all teams to a target and return what it served."""
    context = typing.cast('typing.Any', _Context())
    loop = async_solipsism.EventLoop()
    counts = Counts()

    async def offer(team: str, run_s: float) -> None:
        call = attrs.evolve(
            gate_steps.call_of(context.clock, run_s, OBJECTIVE_MS),
            team=team,
            deadline=context.clock.monotonic() + DEADLINE_S,
        )
        counts.offered[team] += 1
        await gate_steps.offer(context, call)
        _, reason, _ = next(
            outcome for outcome in context.outcomes if outcome[0] is call
        )
        context.outcomes.clear()
        counts.served[team] += reason is None

    async def act() -> None:
        beat = attrs.evolve(gate_steps.BEAT, slots=SLOTS)
        gate_steps.new_gate(context, beat, model_clock.LoopClock())
        context.gate.registration.heartbeat_s = math.inf
        context.gate.slots.queue.teams = order
        began = context.clock.monotonic()
        tasks = []
        for at, team, run_s in arrivals(load, flooding, seed):
            await asyncio.sleep(began + at - context.clock.monotonic())
            tasks.append(asyncio.create_task(offer(team, run_s)))
        await asyncio.gather(*tasks)

    loop.run_until_complete(act())
    loop.close()
    return counts


class _Context:
    """The attributes of a gate and its target."""
