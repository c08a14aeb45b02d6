"""The slots of the local target, and the calls that wait for one."""

from __future__ import annotations

import asyncio
import math
import sys
import typing

import attrs

from pomelobend.admission import cold as colds
from pomelobend.admission import registration as registrations
from pomelobend.admission import reserve as reserves
from pomelobend.admission import shares as share_module
from pomelobend.admission import waiting
from pomelobend import errors
from pomelobend.routing import call as call_module

if typing.TYPE_CHECKING:
    from collections import abc

    from pomelobend import clock as clocks
    from pomelobend.metrics import counters as counter_module

TIMELY_SHARE = 0.9
"""Share of the time left to the latency objective that waiting and running
may take."""

TIMER_SLACK_S = 0.002

OVERRUN_SHARE = 0.1
"""Estimated remaining time of a call that has exceeded its expected run time,
as a share of the mean run time."""

State = registrations.State


@attrs.define(eq=False)
class Slots:
    """Gives each call a slot of the target, or refuses it in time.

    Parameters
    ----------
    registration : Registration
        Tells the number of slots.
    is_withdrawn : callable
        Returns whether the failure domain of this node is out of service.
    expected_ends : dict
        Monotonic time at which each running call is expected to end.
    reserve : Reserve
        Slots that less urgent calls leave to more urgent ones.
    """

    clock: clocks.Clock
    counters: counter_module.Counters
    registration: registrations.Registration
    is_withdrawn: abc.Callable[[], bool]
    cold: colds.ColdLimit
    expected_ends: dict[call_module.Call, float] = attrs.field(factory=dict)
    reserve: reserves.Reserve = attrs.field(factory=reserves.Reserve)
    queue: waiting.Queue = attrs.field(factory=waiting.Queue)
    run_times: waiting.RunTimes = attrs.field(factory=waiting.RunTimes)
    shares: share_module.ServedShares = attrs.field(
        factory=share_module.ServedShares
    )
    timer: asyncio.TimerHandle | None = None

    @property
    def free(self) -> int:
        """Return how many more calls could start now."""
        if self.registration.state is not State.SERVING or self.is_withdrawn():
            return 0
        now = self.clock.monotonic()
        if self.cold.free_at(now) > now:
            return 0
        count = self.registration.slots
        return max(0, count - self.running - self.queue.size)

    def capacity(self, priority: int, *, is_nested: bool) -> tuple[int, float]:
        """Return the free slots and the wait in s for calls of a priority.

        They start before less urgent ones, however many of these wait.
        """
        rank = call_module.NESTED_RANK if is_nested else priority
        order = (not is_nested, rank, math.inf, math.inf)
        overtaken = self.queue.size - len(self.queue.before(order))
        free = self.free
        if overtaken and not free:
            count = self.registration.slots - self.running
            free = max(0, count - self.queue.size + overtaken)
        return free, self.wait_s(order)

    def wait_s(
        self, order: waiting.Order = waiting.LAST, run_s: float = 0.0
    ) -> float:
        """Return the expected wait of a new call in s.

        Parameters
        ----------
        order : waiting.Order
            Its place in the queue; by default behind all others.
        run_s : float
            Its expected run time in s, for which slots may be reserved.
        """
        now = self.clock.monotonic()
        if not self.registration.slots:
            return 0.0
        schedule = self._slot_schedule(now)
        excess = self._reserve_excess(order[1], run_s, now)
        del schedule.free_at[: min(excess, len(schedule.free_at) - 1)]
        for queued in self.queue.before(order):
            schedule.book(queued.run_s)
        return max(0.0, schedule.next_start - now)

    def _slot_schedule(self, now: float) -> waiting.SlotSchedule:
        """Return the schedule of slots that are expected to become free."""
        earliest_end = now + OVERRUN_SHARE * self.run_times.mean
        busy = [max(earliest_end, end) for end in self.expected_ends.values()]
        idle = [now] * max(0, self.registration.slots - len(busy))
        spacing_s = (
            1.0 / self.cold.max_calls if self.cold.is_cold(now) else 0.0
        )
        free_at = sorted(busy + idle)
        return waiting.SlotSchedule(free_at, self.cold.free_at(now), spacing_s)

    async def acquire(self, call: call_module.Call) -> None:
        """Acquire a slot, queueing only if the objective can still be met.

        Raises
        ------
        errors.CallRefusedError
        """
        now = self.clock.monotonic()
        run_s = self._expected_run_s(call, now)
        if not call.is_nested:
            self.shares.note_offered(call.priority, now)
        self.queue.teams.note_offered(call, now)
        self._note_arrival(call, run_s, now)
        priority = self._queue_priority(call)
        if self._may_start(priority, run_s, now) and not self.queue.size:
            self._occupy_slot(call, now)
            return
        self._note_wait(call, now)
        ready = asyncio.get_running_loop().create_future()
        queued = waiting.QueuedCall(call, ready, run_s, now, priority)
        self.queue.place(queued)
        wait_s = self.wait_s(queued.order, run_s)
        left_s = TIMELY_SHARE * (call.due - now)
        if wait_s + run_s > left_s:
            estimate = f'wait {wait_s:.3f} run {run_s:.3f} left {left_s:.3f}'
            self._refuse(estimate)
        if self._makes_others_late(queued, now):
            self._refuse('queued calls go first')
        self.queue.add(queued)
        self.counters.add('calls_queued')
        self.process_queue()
        try:
            await ready
        except asyncio.CancelledError:
            if call in self.expected_ends:
                self.release(call)
            else:
                self.queue.drop(queued)
            raise

    def _queue_priority(self, call: call_module.Call) -> int:
        """Return the priority of a call among those that wait.

        Nested calls do not count for the shares of the priorities: a starved
        priority would otherwise get theirs.
        """
        if call.is_nested:
            return call.rank
        return self.shares.effective_priority(call.priority)

    def _makes_others_late(
        self, newcomer: waiting.QueuedCall, now: float
    ) -> bool:
        """Return whether calls that go first would be late by a new one.

        They were queued because they could meet their objectives. If later
        calls with short objectives took their places, calls with longer ones
        would never run on a target that is short of slots.
        """
        late_before = waiting.find_late(
            self._slot_schedule(now), self.queue.waiting_calls
        )
        late_after = waiting.find_late(
            self._slot_schedule(now), self.queue.waiting_calls_with(newcomer)
        )
        return any(
            not queued.yields_to(newcomer)
            for queued in late_after
            if queued is not newcomer and queued not in late_before
        )

    @property
    def reserved(self) -> int:
        """Return the slots that the least urgent calls may not use now."""
        now = self.clock.monotonic()
        slots = self.registration.slots
        return self.reserve.size(sys.maxsize, math.inf, slots, now)

    def _may_start(self, priority: int, run_s: float, now: float) -> bool:
        """Return whether a call may start if none precedes it."""
        return (
            self.running < self.registration.slots
            and self.cold.free_at(now) <= now
            and self._reserve_excess(priority, run_s, now) <= 0
        )

    def _reserve_excess(self, priority: int, run_s: float, now: float) -> int:
        """Return how many calls hold slots that are reserved from a call.

        So many that are as urgent as it or less must end before it starts.
        Without a reserve the result is 0.
        """
        slots = self.registration.slots
        reserved = self.reserve.size(priority, run_s, slots, now)
        if not reserved:
            return 0
        same = sum(call.priority >= priority for call in self._running_new)
        return max(0, same + 1 - (slots - reserved))

    @property
    def _running_new(self) -> list[call_module.Call]:
        """Return the running calls that are not nested."""
        return [call for call in self.expected_ends if not call.is_nested]

    def _note_arrival(
        self, call: call_module.Call, run_s: float, now: float
    ) -> None:
        """Note a call for the reserve.

        A nested call that misses its objective is still of use to its parent
        until its deadline.
        """
        until = call.deadline if call.is_nested else call.due
        self.reserve.note_arrival(call.rank, run_s, until - now, now)

    def _note_wait(self, waiting_call: call_module.Call, now: float) -> None:
        """Note that a call waits while less urgent ones have slots."""
        rank = waiting_call.rank
        if self.running >= self.registration.slots and any(
            call.priority > rank for call in self._running_new
        ):
            self.reserve.note_wait(now)

    def _occupy_slot(self, call: call_module.Call, now: float) -> None:
        self.expected_ends[call] = now + self._expected_run_s(call, now)
        self.cold.note_admitted(now)
        if not call.is_nested:
            self.shares.note_served(call.priority)
        self.queue.teams.note_served(call)

    def _expected_run_s(self, call: call_module.Call, now: float) -> float:
        """Return the expected run time of a call, in s."""
        return self.run_times.expect(call, is_cold=self.cold.is_cold(now))

    def release(self, call: call_module.Call) -> None:
        """Release the slot of a call; the next one may start."""
        del self.expected_ends[call]
        self.process_queue()

    @property
    def running(self) -> int:
        """Return the number of calls that are running on the target."""
        return len(self.expected_ends)

    @property
    def in_flight(self) -> int:
        """Return the number of calls that run on the target or wait for it."""
        return self.running + self.queue.size

    def process_queue(self) -> None:
        """Start queued calls and refuse those that would be late."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = self.clock.monotonic()
        while self.queue.size and self._may_start_next(now):
            queued = self.queue.pop()
            if queued.ready.done():
                continue
            refusal = self._refusal_reason(queued, now)
            if refusal is not None:
                self._refuse_queued(queued, refusal, now)
                continue
            self._occupy_slot(queued.call, now)
            queued.ready.set_result(None)
        self.refuse_late(now)
        if self.queue.size:
            self._set_timer(now)

    def _may_start_next(self, now: float) -> bool:
        """Return whether the first call in the queue may start."""
        first = self.queue.first
        return self._may_start(first.priority, first.run_s, now)

    def _set_timer(self, now: float) -> None:
        """Schedule the next check of the queue.

        It is due when the cold limit admits the next call, or when the first
        call can no longer meet its objective.
        """
        free_at = self.cold.free_at(now)
        wait_s = free_at - now if free_at > now else 0.05
        late_at = min(
            queued.call.due - queued.run_s
            for queued in self.queue.waiting_calls
        )
        wait_s = min(wait_s, max(0.0, late_at - now))
        self.timer = asyncio.get_running_loop().call_later(
            wait_s + TIMER_SLACK_S, self.process_queue
        )

    def refuse_late(self, now: float) -> None:
        """Refuse queued calls that can no longer meet their objective."""
        if not self.queue.size:
            return
        refused = {
            queued: reason
            for queued in self.queue.waiting_calls
            if (reason := self._refusal_reason(queued, now)) is not None
        }
        if not refused:
            late = waiting.find_late(
                self._slot_schedule(now), self.queue.waiting_calls
            )
            refused = dict.fromkeys(late, errors.Reason.OVERLOADED)
        for queued, reason in refused.items():
            self.queue.drop(queued)
            if not queued.ready.done():
                self._refuse_queued(queued, reason, now)

    def _refuse_queued(
        self, queued: waiting.QueuedCall, reason: errors.Reason, now: float
    ) -> None:
        self.counters.add('queued_calls_refused', reason)
        detail = f'queued {now - queued.queued_at:.3f} run {queued.run_s:.3f}'
        queued.ready.set_exception(
            errors.CallRefusedError(reason, detail=detail)
        )

    def _refusal_reason(
        self, queued: waiting.QueuedCall, now: float
    ) -> errors.Reason | None:
        if self.registration.state is not State.SERVING:
            return errors.Reason.DRAINING
        if self.is_withdrawn():
            return errors.Reason.DOMAIN_WITHDRAWN
        if now + 0.5 * queued.run_s > queued.call.deadline:
            return errors.Reason.OVERLOADED
        return None

    def _refuse(self, detail: str) -> typing.NoReturn:
        reason = errors.Reason.OVERLOADED
        self.counters.add('calls_not_admitted', reason)
        raise errors.CallRefusedError(reason, detail=detail)
