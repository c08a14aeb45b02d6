"""Calls at the local target whose callers leave.

A call that may not be repeated runs to its end once it has begun, as its
target may have done part of its work. One that waits has done none. Only the
node of the target knows whether it has begun.
"""

from __future__ import annotations

import asyncio
import typing

import attrs

from pomelobend import tasks as task_module

if typing.TYPE_CHECKING:
    from pomelobend.admission import gate as gates
    from pomelobend import calls
    from pomelobend.peers import messages
    from pomelobend.routing import call as call_module


@attrs.define(eq=False)
class KeptRuns:
    """Runs calls at the local target, through its gate.

    Parameters
    ----------
    detached : DetachedCalls
        Runs that nobody waits for.
    """

    gate: gates.Gate
    detached: task_module.DetachedCalls = attrs.field(
        factory=task_module.DetachedCalls
    )

    @property
    def free(self) -> int:
        """Return how many more calls could start now."""
        return self.gate.free

    @property
    def wait_ms(self) -> int:
        """Return the expected wait for a slot of a new call, in ms."""
        return self.gate.wait_ms

    def wait_s(self) -> float:
        """Return the expected wait for a slot of a new call, in s."""
        return self.gate.wait_s()

    def capacity(self, priority: int, *, is_nested: bool) -> tuple[int, float]:
        """Return the free slots and the wait in s for calls of a priority."""
        return self.gate.capacity(priority, is_nested=is_nested)

    def report(self, start: messages.CallStart) -> tuple[int, int]:
        """Return the free slots and the wait in ms for calls like one."""
        free, wait_s = self.capacity(start.rank, is_nested=start.is_nested)
        return free, round(wait_s * 1000)

    async def run(self, call: call_module.Call) -> calls.Answer:
        """Run a call on the target.

        When this is cancelled, a call that has a slot and may not be repeated
        runs on, and this ends after it; every other one ends at once.

        Raises
        ------
        errors.CallRefusedError
            As ``Gate.run`` tells.
        """
        if call.is_idempotent:
            return await self.gate.run(call)
        task = asyncio.create_task(self.gate.run(call))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            await self._handle_leave(call, task)
            raise
        finally:
            # A refusal refers to this frame by its traceback.
            del task

    async def _handle_leave(
        self, call: call_module.Call, task: asyncio.Task
    ) -> None:
        """Wait for a run that has begun, and end a call that waits."""
        now = self.gate.clock.monotonic()
        has_begun = call in self.gate.slots.expected_ends
        if has_begun and now < call.deadline:
            self.detached.add(task)
            await asyncio.wait((task,))
        else:
            task.cancel()
            task.add_done_callback(task_module.log_failure)
