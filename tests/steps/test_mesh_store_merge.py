"""Steps of what nodes keep when the store returns from an older copy."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import json
import types
import typing

import attrs
import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pomelobend import errors
from pomelobend.mesh import feed as feeds
from pomelobend.mesh import registry as registries
from pomelobend.mesh import rollout_controller
from pomelobend.mesh import store_merge
from pomelobend.mesh import watch as watch_module
from pomelobend.peers import codec
from pomelobend.peers import messages
from pomelobend.platform import eras
from pomelobend.platform import kinds
from pomelobend.platform import objects
from pomelobend.rollouts import evidence as evidences
from pomelobend.rollouts import exposure
from pomelobend.rollouts import rollout as rollouts
from tests.steps import clocks
from tests.steps import test_mesh_rollout_controller as rollout_steps

NODES = 3
EXAMPLES = 100
STEPS = 40
ROUNDS = 12
"""Rounds of advertisements after which all nodes must agree."""

MAIN = 'main'

ROLLOUT_S = 6.0


class RevisionsOnly(watch_module.Watch):
    """A watch that compares revisions without their eras."""

    def is_older_than(self, position: eras.Position) -> bool:
        """Return whether the revision is greater."""
        return self.revision is None or self.revision < position.revision


class PositionsOnly(watch_module.Watch):
    """A watch that takes objects at the same position for the same."""

    def may_differ_at(self, position: eras.Position) -> bool:
        """Return that they never differ."""
        return False


class Link:
    """One direction of a connection; messages arrive when delivered."""

    def __init__(self, machine: Machine, source: int, node: int) -> None:
        self.machine, self.source, self.node = machine, source, node

    def send_if_open(self, message: messages.Message) -> None:
        """Put a message on its way."""
        data = codec.encode(message)
        self.machine.sent.append((self.source, self.node, data))


class Machine(stateful.RuleBasedStateMachine):
    """A store that is restored, and nodes that read it and exchange objects.

    Messages between nodes are delivered in any order, lost and repeated, and
    so are responses of the store.
    """

    watch_class = watch_module.Watch
    merge = staticmethod(store_merge.keep_newest_configuration)

    def __init__(self) -> None:
        super().__init__()
        self.clock = clocks.StepClock()
        self.era, self.revision, self.version = 0, 1, 0
        self.item: objects.StoredObject | None = None
        self.copies: list[tuple[int, objects.StoredObject | None]] = []
        self.sent: list[tuple[int, int, bytes]] = []
        self.responses: list[tuple[int, objects.Listing]] = []
        self.feeds: list[feeds.Feed] = []
        self.feeds.extend(self._new_feed(node) for node in range(NODES))
        self.reached: list[tuple[eras.Position | None, int]] = [
            (None, 0)
        ] * NODES

    def _new_feed(self, node: int) -> feeds.Feed:
        links = [
            (Link(self, node, other), None)
            for other in range(NODES)
            if other != node
        ]
        feed = feeds.Feed(
            types.SimpleNamespace(neighbours=lambda: links),
            self.clock,
            types.SimpleNamespace(must_follow=True, note_heard=lambda _: None),
        )
        feed.watches[kinds.CONFIG] = self.watch_class(
            kinds.CONFIG,
            None,
            self.clock,
            0.0,
            lambda items: None,
            merge=self.merge,
            known_era=lambda: feed.eras.number,
        )
        return feed

    def _watch(self, node: int) -> watch_module.Watch:
        return self.feeds[node].watches[kinds.CONFIG]

    @stateful.rule()
    def write(self) -> None:
        """Let the operator write the next configuration."""
        self.version += 1
        self.write_again()

    @stateful.rule()
    def write_again(self) -> None:
        """Let the operator write its configuration again."""
        self.copies.append((self.revision, self.item))
        self.revision += 1
        spec = {'version': f'r{self.version}'}
        self.item = objects.StoredObject(
            MAIN, self.revision, spec, None, era=self.era
        )

    @stateful.precondition(lambda self: self.copies)
    @stateful.rule(age=strategies.integers(1, 4))
    def restore(self, age: int) -> None:
        """Restore the copy of before some writes."""
        age = min(age, len(self.copies))
        self.revision, self.item = self.copies[-age]
        del self.copies[-age:]
        self.era += 1

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def list_objects(self, node: int) -> None:
        """Let the store answer a listing; the response may be late."""
        items = ()
        if self.item is not None:
            items = (
                objects.StoredObject(
                    MAIN,
                    self.item.revision,
                    self.item.spec,
                    None,
                    era=self.era,
                ),
            )
        self.responses.append(
            (node, objects.Listing(items, self.revision, self.era))
        )

    @stateful.precondition(lambda self: self.responses)
    @stateful.rule(index=strategies.integers(0, 99))
    def receive(self, index: int) -> None:
        """Let a response of the store arrive."""
        index %= len(self.responses)
        node, found = self.responses.pop(index)
        self.feeds[node].eras.observe(found.era, 'store')
        watch = self._watch(node)
        if watch.is_older_than(found.position):
            items = {item.name: item for item in found.items}
            watch.adopt(found.position, items)

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def advertise(self, node: int) -> None:
        """Let a node advertise what it holds."""
        self.clock.time_s += 1.0
        self.feeds[node].advertise_change()

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(
        index=strategies.integers(0, 99),
        times=strategies.sampled_from((0, 1, 1, 1, 2)),
    )
    def deliver(self, index: int, times: int) -> None:
        """Let a message between nodes arrive, or not, or twice."""
        source, node, data = self.sent.pop(index % len(self.sent))
        for _ in range(times):
            self._deliver(source, node, data)

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def restart(self, node: int) -> None:
        """Let a node start again, without anything."""
        self.feeds[node] = self._new_feed(node)
        self.reached[node] = (None, 0)

    def _deliver(self, source: int, node: int, data: bytes) -> None:
        message = codec.decode(data)
        feed, link = self.feeds[node], Link(self, node, source)
        handle = {
            messages.Following: feed.handle_following,
            messages.Want: feed.handle_want,
            messages.Listing: feed.handle_listing,
        }[type(message)]
        handle(link, message)

    @stateful.invariant()
    def none_goes_back(self) -> None:
        """Check that positions and versions only rise on each node."""
        for node in range(NODES):
            watch = self._watch(node)
            position, version = self.reached[node]
            found = self._version(node)
            assert found >= version, (node, version, found)
            if position is not None:
                assert watch.position >= position, (position, watch.position)
            self.reached[node] = (watch.position, found)

    def _version(self, node: int) -> int:
        item = self._watch(node).items.get(MAIN)
        return int(item.spec['version'][1:]) if item is not None else 0

    def teardown(self) -> None:
        """Check that the nodes agree, before and after the operator writes.

        One node reads the store; the others are cut off from it. In the end
        a copy is restored once more, and a new version written.
        """
        self.sent.clear()
        self.responses.clear()
        self._settle()
        found = {self._watch(node).digest for node in range(NODES)}
        assert len(found) == 1, found
        self.write_again()
        self._settle()
        self._check_versions()
        self.restore(3)
        self.write()
        self._settle()
        self._check_versions()
        self._check_exchange()

    def _check_exchange(self) -> None:
        """Check that a node that has started again gets what others keep.

        It reads the restored copy itself, at the same position as the others.
        """
        self.restart(0)
        self.restore(1)
        for node in range(NODES):
            self.list_objects(node)
            self.receive(0)
        self._settle()
        self._check_versions()

    def _check_versions(self) -> None:
        versions = {self._version(node) for node in range(NODES)}
        assert versions == {self.version}, (versions, self.version)

    def _settle(self) -> None:
        self.list_objects(0)
        self.receive(0)
        for _ in range(ROUNDS):
            for node in range(NODES):
                if self._watch(node).revision is not None:
                    self.advertise(node)
            while self.sent:
                self._deliver(*self.sent.pop(0))
        self.none_goes_back()


class Forgetful(rollout_controller.RolloutController):
    """A controller that takes what a newer era shows for an update."""

    def _handle_era(self, *args: typing.Any) -> bool:
        return False


class RolloutStore:
    """A store with one rollout, which is restored from older copies.

    It compares revisions alone, as the real one does.
    """

    def __init__(self) -> None:
        self.era, self.revision = 0, 1
        self.item: objects.StoredObject | None = None
        self.copies: list[tuple[int, objects.StoredObject | None]] = []

    def put(self, spec: dict, status: dict | None) -> objects.StoredObject:
        """Replace the rollout."""
        self.copies.append((self.revision, self.item))
        self.revision += 1
        self.item = objects.StoredObject(
            rollout_steps.SERVICE, self.revision, spec, status
        )
        return self.read()[0]

    def restore(self, age: int) -> None:
        """Restore the copy of before some changes."""
        age = min(age, len(self.copies))
        self.revision, self.item = self.copies[-age]
        del self.copies[-age:]
        self.era += 1

    def read(self) -> list[objects.StoredObject]:
        """Return the rollout, if there is one, with the era."""
        if self.item is None:
            return []
        return [attrs.evolve(self.item, era=self.era)]

    async def write_status(
        self, kind: str, name: str, status: dict, revision: int
    ) -> objects.StoredObject:
        """Replace the status of the rollout at a revision."""
        if self.item is None:
            raise errors.PlatformNotFoundError(name)
        if self.item.revision != revision:
            raise errors.PlatformConflictError(name, self.item.revision)
        return self.put(self.item.spec, status)


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Nodes that carry out rollouts on a store that is restored.

    Responses to their listings arrive in any order.
    """

    controller_class = rollout_controller.RolloutController

    def __init__(self) -> None:
        super().__init__()
        self.clock, self.store = clocks.StepClock(), RolloutStore()
        self.version = 0
        self.responses: list[tuple[int, objects.Listing]] = []
        self.controllers: list[rollout_controller.RolloutController] = []
        self.nodes = [self._new_node() for _ in range(NODES)]
        self.ended: list[set[str]] = [set() for _ in range(NODES)]

    def _new_node(self) -> watch_module.Watch:
        controller = self.controller_class(
            self.store,
            types.SimpleNamespace(
                serving_targets=lambda _: [],
                known={},
                own=types.SimpleNamespace(node='n'),
            ),
            types.SimpleNamespace(service='innborgun', heartbeat=None),
            self.clock,
            None,
            exposure.Limit(0.1, 50),
        )
        watch = watch_module.Watch(
            kinds.ROLLOUTS,
            None,
            self.clock,
            0.0,
            controller.apply,
            on_era=controller.begin_era,
        )
        self.controllers.append(controller)
        return watch

    @stateful.rule()
    def order(self) -> None:
        """Let the operator order the next version."""
        self.version += 1
        self.write_again()

    @stateful.precondition(lambda self: self.version)
    @stateful.rule()
    def write_again(self) -> None:
        """Let the operator write its order if the store lacks it."""
        spec = {
            'service': rollout_steps.SERVICE,
            'target_version': f'v{self.version}',
            'duration_s': ROLLOUT_S,
        }
        held = self.store.item
        if held is None or held.spec != spec:
            self.store.put(spec, held.status if held is not None else None)

    @stateful.precondition(lambda self: self.store.copies)
    @stateful.rule(age=strategies.integers(1, 4))
    def restore(self, age: int) -> None:
        """Restore the copy of before some changes."""
        self.store.restore(age)

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def list_objects(self, node: int) -> None:
        """Let the store answer a listing; the response may be late."""
        store = self.store
        found = objects.Listing(tuple(store.read()), store.revision, store.era)
        self.responses.append((node, found))

    @stateful.precondition(lambda self: self.responses)
    @stateful.rule(index=strategies.integers(0, 99))
    def receive(self, index: int) -> None:
        """Let a response of the store arrive."""
        index %= len(self.responses)
        node, found = self.responses.pop(index)
        watch = self.nodes[node]
        self.controllers[node].eras.observe(found.era, 'store')
        if watch.is_older_than(found.position):
            watch.adopt(
                found.position, {item.name: item for item in found.items}
            )

    @stateful.rule(node=strategies.integers(0, NODES - 1))
    def write_state(self, node: int) -> None:
        """Let a node write the state that is due."""
        controller = self.controllers[node]
        for plan in controller.plans.values():
            with contextlib.suppress(StopIteration):
                controller._write_if_due(plan).send(None)

    @stateful.rule(seconds=strategies.floats(0.1, 1.0))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.time_s += seconds

    @stateful.rule()
    def succeed(self) -> None:
        """Let all nodes know of good outcomes at the new versions."""
        for controller in self.controllers:
            for plan in controller.plans.values():
                plan.evidence.record(
                    'a',
                    plan.version,
                    self.clock.time_s,
                    {'lookup': evidences.Tally(5, 0, 0.5)},
                )

    @stateful.invariant()
    def ended_stay_ended(self) -> None:
        """Check that no rollout begins anew that has ended on a node."""
        for node, controller in enumerate(self.controllers):
            for plan in controller.plans.values():
                if plan.order.state in rollouts.ENDED:
                    self.ended[node].add(plan.version)
                assert (
                    plan.version not in self.ended[node]
                    or plan.order.state in rollouts.ENDED
                ), (node, plan.order)

    def teardown(self) -> None:
        """Check that the last rollout ends once its order is written.

        Its end stays after copies without the final state, and without all
        of its states, are restored.
        """
        if not self.version:
            return
        self.responses.clear()
        self._settle()
        for age in (1, 2):
            self.restore(age)
            self._settle()

    def _settle(self) -> None:
        self.write_again()
        for _ in range(round(2 * ROLLOUT_S)):
            for node in range(NODES):
                self.list_objects(node)
                self.receive(0)
                self.ended_stay_ended()
                self.write_state(node)
            self.clock.time_s += 1.0
        status = self.store.item.status
        assert status['target_version'] == f'v{self.version}', status
        assert rollouts.State(status['state']) in rollouts.ENDED, status
        for controller in self.controllers:
            order = controller.plans[rollout_steps.SERVICE].order
            assert str(order.state) == status['state'], (order, status)


class WithoutStates(RolloutMachine):
    """Nodes that take older rollout states for updates."""

    controller_class = Forgetful


class WithoutEras(Machine):
    """Nodes that compare revisions without their eras."""

    watch_class = RevisionsOnly


class WithoutMerge(Machine):
    """Nodes that take older configurations for updates."""

    merge = staticmethod(store_merge.replace)


class WithoutExchange(Machine):
    """Nodes that ignore what others hold at their position."""

    watch_class = PositionsOnly


BROKEN = {
    'take older rollout states for updates': WithoutStates,
    'compare revisions without their eras': WithoutEras,
    'take older configurations for updates': WithoutMerge,
    'ignore what others hold at a position': WithoutExchange,
}


def _check(machine: type[stateful.RuleBasedStateMachine]) -> None:
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
            report_multiple_bugs=False,
            phases=(hypothesis.Phase.generate,),
        ),
    )


@behave.when('stores are restored while messages are lost, doubled and late')
def when_random(context: typing.Any) -> None:
    context.machine = Machine


@behave.then(
    'no node goes back, and all agree once the operator has written again'
)
def then_agree(context: typing.Any) -> None:
    _check(context.machine)


@behave.when('stores are restored while rollouts are carried out')
def when_rollouts(context: typing.Any) -> None:
    context.machine = RolloutMachine


@behave.then('no ended rollout begins anew, and the last one ends everywhere')
def then_ended(context: typing.Any) -> None:
    _check(context.machine)


@behave.when('stores are restored and the nodes {fault}')
def when_broken(context: typing.Any, fault: str) -> None:
    context.machine = BROKEN[fault]


@behave.then('the check of these nodes fails')
def then_fails(context: typing.Any) -> None:
    """Guard against a check that would pass anything."""
    try:
        _check(context.machine)
    except AssertionError:
        return
    raise AssertionError(f'{context.machine.__name__} passes')


def _order(text: str) -> rollouts.Order:
    version, state, _, seconds, _ = text.split()
    duration = datetime.timedelta(seconds=int(seconds))
    return rollouts.Order('bells', version, duration, rollouts.State(state))


@behave.then('a rollout known as {known} and shown as {shown} is {outcome}')
def then_rollout(
    context: typing.Any, known: str, shown: str, outcome: str
) -> None:
    """Guard against an older state that is taken for an update."""
    found = store_merge.compare_rollouts(_order(known), _order(shown))
    assert found.name.lower() == outcome, found


@behave.then('a response with the era header {text} is of the era {era:d}')
def then_header(context: typing.Any, text: str, era: int) -> None:
    headers = [] if text == 'none' else [(eras.HEADER, text)]
    assert eras.from_headers(headers) == era


class AnsweredStore(objects.ObjectStore):
    """A client whose next calls get the given responses."""

    async def _call(self, *args: typing.Any) -> objects.Response:
        status, body, era = self.answers.pop(0)
        self.eras.observe(era, 'store')
        return objects.Response(status, json.dumps(body).encode(), era)


@behave.given('a store client that knows of the era {era:d}')
def given_client(context: typing.Any, era: int) -> None:
    context.store = AnsweredStore(None, None)
    context.store.eras.observe(era, 'store')


def _answer(store: AnsweredStore, *responses: tuple[int, dict, int]) -> None:
    """Let the next calls of a client get responses: status, body, era."""
    store.answers = list(responses)


ENTRY = {'metadata': {'name': 'a', 'revision': 5}, 'spec': {}, 'status': None}
PAGE = {'items': [ENTRY], 'has_more': False, 'current_rev': 9}
CHANGES = {'events': [], 'current_rev': 9}


@behave.then('a listing, a watch and a write of the era {era:d} are errors')
def then_errors(context: typing.Any, era: int) -> None:
    """Guard against delayed responses that take effect."""
    store = context.store
    calls = (
        (200, PAGE, lambda: store.list('config')),
        (200, CHANGES, lambda: store.watch('config', 5, 0)),
        (200, ENTRY, lambda: store.write('config', 'a', {}, 5)),
        (409, ENTRY, lambda: store.write_status('config', 'a', {}, 5)),
    )
    for status, body, call in calls:
        _answer(store, (status, body, era))
        try:
            context.run(call())
        except errors.PlatformError as error:
            assert not isinstance(error, errors.PlatformConflictError)
            assert str(era) in str(error), error
        else:
            raise AssertionError(body)


@behave.then(
    'a listing of the era {era:d} is used, and one of {newer:d} makes the era'
    ' known'
)
def then_used(context: typing.Any, era: int, newer: int) -> None:
    store, told = context.store, []
    store.eras.on_newer.append(told.append)
    for number in (era, newer):
        _answer(store, (200, PAGE, number))
        found = context.run(store.list('config'))
        assert found.position == eras.Position(number, 9), found
        assert found.items[0].era == number, found
    assert told == [newer], told


@behave.then(
    'a listing with pages of the eras {one:d} and {other:d} is an error'
)
def then_pages(context: typing.Any, one: int, other: int) -> None:
    """Guard against a listing that mixes objects of two eras."""
    first = PAGE | {'has_more': True}
    _answer(context.store, (200, first, one), (200, PAGE, other))
    try:
        context.run(context.store.list('config'))
    except errors.PlatformUnavailableError:
        return
    raise AssertionError('used')


@behave.given('a node whose rollout has ended in the era 0')
def given_rollout(context: typing.Any) -> None:
    rollout_steps.given_ended(context)
    context.shown = 0


def _show(context: typing.Any, state: str = '') -> None:
    """Show the order in the era 1, under a revision lower than before."""
    context.shown += 1
    spec = {
        'service': rollout_steps.SERVICE,
        'target_version': 'v2',
        'duration_s': 10.0,
    }
    status = {'state': state, 'target_version': 'v2'} if state else None
    item = objects.StoredObject(
        rollout_steps.SERVICE, context.shown, spec, status, era=1
    )
    context.controller.eras.observe(1, 'store')
    context.controller.begin_era(1)
    context.controller.apply({item.name: item})


@behave.when('its order is shown without a state in the era 1')
@behave.when('the order is shown once more without a state')
def when_shown(context: typing.Any) -> None:
    _show(context)


@behave.when('the order is shown with the final state')
def when_shown_final(context: typing.Any) -> None:
    _show(context, 'rolled_back')


@behave.then('the final state is due, at the revision of the era 1')
def then_due(context: typing.Any) -> None:
    """Guard against an ended rollout that begins anew."""
    plan = context.controller.plans[rollout_steps.SERVICE]
    assert plan.next_state() is rollouts.State.ROLLED_BACK, plan
    assert plan.position == eras.Position(1, context.shown), plan.position
    assert plan.split().share == 0.0, plan.split()


@behave.then('no state is due')
def then_not_due(context: typing.Any) -> None:
    plan = context.controller.plans[rollout_steps.SERVICE]
    assert plan.next_state() is None, plan


class RecordStore:
    """A store that keeps the writes it gets."""

    def __init__(self) -> None:
        self.era, self.writes = 0, []

    async def write(
        self, kind: str, name: str, spec: dict, revision: int | None
    ) -> objects.StoredObject:
        """Note a write."""
        self.writes.append(revision)
        return objects.StoredObject(name, 7, spec, None, era=self.era)


@behave.given('a node whose record was written in the era 0')
def given_record(context: typing.Any) -> None:
    record = types.SimpleNamespace(to_spec=dict)
    context.clock = clocks.StepClock()
    context.store = RecordStore()
    directory = types.SimpleNamespace(
        own=types.SimpleNamespace(node='a'), known={}, live={}
    )
    context.registry = registries.Registry(
        context.store, directory, context.clock
    )
    context.told = []
    context.registry.on_written.append(lambda: context.told.append('written'))
    context.registry.on_predecessor.append(
        lambda: context.told.append('predecessor')
    )
    context.registry.has_listed = True
    context.registry.eras.observe(0, 'store')
    context.registry.desired = record
    context.run(context.registry._write())
    assert context.told == ['written'], context.told


@behave.when('the nodes are listed in the era 1 without its record')
def when_listed(context: typing.Any) -> None:
    context.store.era = 1
    context.registry.eras.observe(1, 'store')
    context.registry.begin_era(1)
    context.registry.apply({})


@behave.then('it writes its record once, as a new object')
def then_record(context: typing.Any) -> None:
    """Guard against a lost record, and one that is written in a loop."""

    async def act() -> None:
        run = asyncio.create_task(context.registry.run())
        await asyncio.sleep(0.05)
        context.registry.apply({})
        await asyncio.sleep(0.05)
        run.cancel()

    context.run(act())
    assert context.store.writes == [None, None], context.store.writes
    assert context.told == ['written'], context.told


def _configuration(text: str) -> dict[str, objects.StoredObject]:
    if text == 'nothing':
        return {}
    version, era, revision = text.split()
    spec = {'version': version}
    item = objects.StoredObject(MAIN, int(revision), spec, None, era=int(era))
    return {MAIN: item}


@behave.then('of {held} and {found} in the era {era:d} remains {kept}')
def then_remains(
    context: typing.Any, held: str, found: str, era: int, kept: str
) -> None:
    """Guard against kept versions that an older kept one replaces."""
    result = store_merge.keep_newest_configuration(
        _configuration(held), _configuration(found), era
    )
    assert result == _configuration(kept), result
