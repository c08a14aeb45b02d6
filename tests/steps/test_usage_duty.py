"""Steps for the duty to report usage, checked by random courses of events."""

from __future__ import annotations

import functools
import itertools
import json
import typing

import attrs
import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pomelobend import errors
from pomelobend.usage import duty as duties

LEASE_S = 3.0
PROCESSES = 3
EXAMPLES = 150
STEPS = 50

INDEX = strategies.integers(0, PROCESSES - 1)


class SteadyOnly(duties.Reading):
    """Clocks of which only the steady one is used."""

    def most_since(self, earlier: duties.Reading) -> float:
        """Return the time that has passed by the steady clock."""
        return self.steady - earlier.steady


@attrs.define(eq=False)
class Vm:
    """A process with its clocks, whose VM may be suspended."""

    duty: duties.Duty
    steady: float
    boot: float
    wall: float
    is_suspended: bool = False

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.boot += seconds
        self.wall += seconds
        if not self.is_suspended:
            self.steady += seconds


@attrs.define(eq=False)
class Write:
    """A write on its way to the store."""

    revision: int | None
    record: duties.Record


@attrs.define(eq=False)
class Store:
    """The object, its revision, and late writes on their way."""

    is_fenced: bool = True
    revision: int | None = None
    record: duties.Record | None = None
    late: list[Write] = attrs.field(factory=list)
    numbers: typing.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def apply(self, write: Write) -> int | None:
        """Apply a write; return the revision, or None on a conflict."""
        if self.is_fenced and write.revision != self.revision:
            return None
        self.record, self.revision = write.record, next(self.numbers)
        return self.revision


@attrs.frozen
class Sent:
    """A report that the API has received, and when."""

    at: float
    holder: int
    token: int
    window: int
    counts: dict[str, int]


class Courses(stateful.RuleBasedStateMachine):
    """Processes that contend, a store, and the reports that were sent."""

    is_fenced = True
    reading: type[duties.Reading] = duties.Reading

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = Store(self.is_fenced)
        self.sent: list[Sent] = []
        self.serial = itertools.count(1)
        # The VMs share their name: only the incarnation tells them apart.
        self.vms = [
            Vm(
                duties.Duty('vik-1', number, LEASE_S),
                10.0 * number,
                10.0 * number,
                1000.0 + 0.3 * number,
            )
            for number in range(PROCESSES)
        ]

    def clocks(self, vm: Vm) -> duties.Reading:
        """Read the clocks of a VM."""
        return self.reading(vm.steady, vm.boot, vm.wall)

    def left_s(self, vm: Vm) -> float:
        """Return for how long a VM may send, 0 if it is suspended."""
        if vm.is_suspended:
            return 0.0
        return vm.duty.left_s(self.clocks(vm))

    @stateful.rule(seconds=strategies.sampled_from((0.1, 0.7, 2.5, 3.4)))
    def pass_time(self, seconds: float) -> None:
        """Let time pass for all."""
        self.now += seconds
        for vm in self.vms:
            vm.advance(seconds)

    @stateful.rule(
        index=INDEX,
        seconds=strategies.sampled_from((0.0, 0.7, 3.4)),
        count=strategies.integers(1, 3),
        sends=strategies.booleans(),
    )
    def work(
        self, index: int, seconds: float, count: int, sends: bool
    ) -> None:
        """Let a process do all that it can, some times in a row."""
        for _ in range(count):
            self.pass_time(seconds)
            if self.vms[index].duty.seen is None:
                self.read(index)
            self.write(index, 'answered')
            if sends:
                self.send(index, True)
            self.read((index + 1) % PROCESSES)

    @stateful.rule(index=INDEX, seconds=strategies.sampled_from((0.7, 3.4)))
    def suspend_while_next_works(self, index: int, seconds: float) -> None:
        """Suspend a VM while the next process works, then resume it."""
        self.suspend_or_resume(index)
        self.work((index + 1) % PROCESSES, seconds, 2, True)
        self.suspend_or_resume(index)

    @stateful.rule(index=INDEX)
    def suspend_or_resume(self, index: int) -> None:
        """Suspend a VM, or resume it."""
        vm = self.vms[index]
        vm.is_suspended = not vm.is_suspended

    @stateful.rule(
        index=INDEX, seconds=strategies.sampled_from((-7.0, -0.3, 0.3, 7.0))
    )
    def step_clock(self, index: int, seconds: float) -> None:
        """Step the wall clock of a VM."""
        self.vms[index].wall += seconds

    @stateful.rule(index=INDEX)
    def read(self, index: int) -> None:
        """Read the store."""
        vm = self.vms[index]
        if not vm.is_suspended:
            vm.duty.note_read(
                self.store.revision, self.store.record, self.clocks(vm)
            )

    @stateful.rule(index=INDEX, other=INDEX)
    def tell(self, index: int, other: int) -> None:
        """Let a holder tell another process of its write."""
        teller, vm = self.vms[index], self.vms[other]
        if teller.duty.leased_from is not None and not vm.is_suspended:
            vm.duty.note_heard(teller.duty.seen.revision, self.clocks(vm))

    @stateful.rule(
        index=INDEX,
        fate=strategies.sampled_from(
            ('answered', 'answered', 'unanswered', 'late')
        ),
    )
    def write(self, index: int, fate: str) -> None:
        """Renew or take over the lease, with a report of the next window."""
        vm = self.vms[index]
        duty = vm.duty
        if vm.is_suspended or not duty.may_write(self.clocks(vm)):
            return
        window = duty.record.recorded + 1 if duty.record else 1
        # Each process has counted something else.
        report = duties.Report(window, {'pulo780': next(self.serial)})
        write = Write(
            duty.seen.revision,
            duty.begin_write([report], window, 1, self.clocks(vm)),
        )
        if fate == 'late':
            self.store.late.append(write)
            duty.note_write_lost()
            return
        revision = self.store.apply(write)
        if fate == 'unanswered' or revision is None:
            duty.note_write_lost()
        else:
            duty.note_written(revision)

    @stateful.precondition(lambda self: self.store.late)
    @stateful.rule(number=strategies.integers(0, 99))
    def land(self, number: int) -> None:
        """Let a late write arrive."""
        late = self.store.late
        self.store.apply(late.pop(number % len(late)))

    @stateful.rule(index=INDEX, is_answered=strategies.booleans())
    def send(self, index: int, is_answered: bool) -> None:
        """Send the first recorded report that was not accepted."""
        vm = self.vms[index]
        unsent = vm.duty.unsent()
        if not unsent or self.left_s(vm) <= 0:
            return
        token = vm.duty.record.token
        report = unsent[0]
        self.sent.append(
            Sent(self.now, index, token, report.window, report.counts)
        )
        if is_answered:
            vm.duty.note_accepted(report.window)

    @stateful.invariant()
    def reports_do_not_differ(self) -> None:
        """Check that all reports of a window are the same."""
        by_window: dict[int, dict] = {}
        for item in self.sent:
            known = by_window.setdefault(item.window, item.counts)
            assert known == item.counts, self.sent

    @stateful.invariant()
    def tokens_belong_to_holders(self) -> None:
        """Check that tokens increase with each change of the holder."""
        for before, after in itertools.pairwise(self.sent):
            assert after.token >= before.token, self.sent
            is_same = after.holder == before.holder
            assert is_same or after.token > before.token, self.sent
        holders: dict[int, int] = {}
        for item in self.sent:
            known = holders.setdefault(item.token, item.holder)
            assert known == item.holder, self.sent

    @stateful.invariant()
    def holders_do_not_alternate(self) -> None:
        """Check that no holder is back within a lease."""
        turns = [
            (holder, [item.at for item in items])
            for holder, items in itertools.groupby(
                self.sent, lambda item: item.holder
            )
        ]
        for first, third in zip(turns, turns[2:], strict=False):
            if first[0] == third[0]:
                assert third[1][0] - first[1][-1] >= LEASE_S, self.sent


class Unfenced(Courses):
    """The same with a store that ignores the revision of a write."""

    is_fenced = False


class Unsuspended(Courses):
    """The same with leases that are measured by the steady clock alone."""

    reading = SteadyOnly


def run_courses(machine: type[Courses], examples: int) -> None:
    """Run random courses; the first rule that is broken raises an error."""
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
            database=None,
            print_blob=False,
            report_multiple_bugs=False,
            phases=[hypothesis.Phase.generate],
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


@behave.given('three processes that contend for the duty')
def given_processes(context: typing.Any) -> None:
    context.machine = Courses


@behave.given('a store that ignores the revision of a write')
def given_unfenced(context: typing.Any) -> None:
    context.machine = Unfenced


@behave.given('processes that measure their lease by the steady clock alone')
def given_unsuspended(context: typing.Any) -> None:
    context.machine = Unsuspended


@behave.then('no course of events breaks a rule of the reports')
def then_none(context: typing.Any) -> None:
    run_courses(context.machine, EXAMPLES)


@behave.then('a course of events breaks a rule of the reports')
def then_broken(context: typing.Any) -> None:
    found = functools.partial(run_courses, context.machine, 10 * EXAMPLES)
    try:
        found()
    except AssertionError:
        return
    raise AssertionError('no course of events has broken a rule')


@behave.then('the record {text} is refused')
def then_refused(context: typing.Any, text: str) -> None:
    try:
        duties.Record.from_spec(json.loads(text))
    except errors.MalformedError:
        return
    raise AssertionError(text)
