"""Calls and messages of one instance in the world of leases."""

import asyncio
import functools
import json
import typing
from collections import abc
from urllib import parse as urls

from bilberryglade._ownership.tests import modelled_targets
from bilberryglade._targets import marks, sender
from bilberryglade._values import outcomes
from bilberryglade.platform import headers
from bilberryglade_stand_ins import store_model

if typing.TYPE_CHECKING:
    from bilberryglade._ownership.tests import lease_instance, lease_world

#: Seconds for a connection, after which nothing was sent.
CONNECT_SECONDS: typing.Final = 0.3
#: Part of calls that go over a connection that is kept.
KEPT_PART: typing.Final = 0.7
#: Seconds between two looks whether a cut has healed.
HELD_UP_SECONDS: typing.Final = 0.02
UNAVAILABLE_STATUS: typing.Final = 503
#: An answer to some request, which alone has an id.
EXTRA: typing.Final = outcomes.Answered(
    store_model.OK,
    (outcomes.Header(headers.REQUEST_ID, 'r'),),
    b'',
)


class PeerLink:
    """Messages to other instances."""

    def __init__(self, world: 'lease_world.World', name: str) -> None:
        """Sends for the instance called `name`."""
        self.world = world
        self.name = name

    def send(self, address: str, message: abc.Mapping[str, object]) -> bool:
        """Sends to the instance at `address`, which is its name here."""
        world = self.world
        world.later(world.network.transit(), self._deliver, address, message)
        return True

    def send_all(
        self,
        addresses: abc.Iterable[str],
        message: abc.Mapping[str, object],
    ) -> None:
        """Sends to many."""
        for address in addresses:
            self.send(address, message)

    def forget(self, _: abc.Container[str]) -> None:
        """Keeps no connections."""

    def _deliver(
        self,
        address: str,
        message: abc.Mapping[str, object],
    ) -> None:
        receiver = self.world.instances.get(address)
        if receiver is None or self.world.network.is_cut(self.name, address):
            return
        self.world.loop.call_soon(
            receiver.receive, message, context=receiver.process.context
        )


class StoreLink:
    """Calls of one instance to the store."""

    def __init__(self, world: 'lease_world.World', name: str) -> None:
        """Calls for the instance called `name`."""
        self.world = world
        self.name = name

    async def send(
        self,
        call: sender.Call,
        *,
        on_fresh: bool,
    ) -> outcomes.Outcome:
        """Carries a call out; see `sender.Sender.send`."""
        world = self.world
        troubles = world.store_troubles
        if self.name in troubles.refused_instances:
            await asyncio.sleep(world.network.transit())
            return outcomes.Answered(UNAVAILABLE_STATUS, (), b'')
        answer: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        delay = world.network.transit()
        if troubles.max_delay_seconds:
            delay += world.chance.uniform(0, troubles.max_delay_seconds)
        is_lost = (
            call.method == 'POST'
            and world.chance.random() < troubles.lost_fraction
        )
        if is_lost and troubles.max_late_seconds:
            delay += world.chance.uniform(1, troubles.max_late_seconds)
        world.later(delay, self._carry_out, call, answer, is_lost)
        try:
            async with asyncio.timeout(call.seconds):
                return await answer
        except TimeoutError:
            return outcomes.Unknown(outcomes.Reason.deadline)

    def _carry_out(
        self,
        call: sender.Call,
        answer: 'asyncio.Future[outcomes.Outcome]',
        is_lost: bool,
    ) -> None:
        world = self.world
        is_cut = world.network.is_cut(self.name, 'store')
        if is_cut or world.store_troubles.is_unavailable:
            return
        outcome = self._answer(call)
        if not is_lost:
            world.later(world.network.transit(), _give, answer, outcome)

    def _answer(self, call: sender.Call) -> outcomes.Outcome:
        path, _, text = call.path.partition('?')
        query = dict(urls.parse_qsl(text))
        partition = self.world.model.partition(query)
        name = path.rpartition('/')[2]
        if name == 'log-append':
            status, told = partition.append(query, call.body)
            return _json(status, told)
        if name == 'log-newest':
            return _json(store_model.OK, partition.newest(''))
        raw = partition.read(int(query['from']))
        return outcomes.Answered(store_model.OK, (), raw or b'')


class TargetLink:
    """Orders of one instance to targets."""

    def __init__(self, world: 'lease_world.World', name: str) -> None:
        """Orders for the instance called `name`."""
        self.world = world
        self.name = name

    async def send(
        self,
        call: sender.Call,
        *,
        on_fresh: bool,
    ) -> outcomes.Outcome:
        """Carries an order out; see `sender.Sender.send`."""
        way: list[str] = []
        answer: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        try:
            async with asyncio.timeout(call.seconds):
                found = await self._exchange(call, on_fresh, answer, way)
        except TimeoutError:
            if way:
                return outcomes.Unknown(outcomes.Reason.deadline)
            return outcomes.NotRun(outcomes.Reason.target_unreachable)
        finally:
            answer.cancel()
        return _own(call, found)

    async def _exchange(
        self,
        call: sender.Call,
        on_fresh: bool,
        answer: 'asyncio.Future[outcomes.Outcome]',
        way: list[str],
    ) -> outcomes.Outcome:
        """Sends an order, which is noted in `way` then, and waits."""
        world = self.world
        target = self._at(call.address)
        is_kept = not on_fresh and world.chance.random() <= KEPT_PART
        # The library takes a turn of the loop for itself before it sends.
        await asyncio.sleep(0)
        if not is_kept:
            await asyncio.sleep(world.network.transit())
            if target is None:
                return outcomes.NotRun(outcomes.Reason.target_unreachable)
            if world.network.is_cut(self.name, target.name):
                await asyncio.sleep(CONNECT_SECONDS)
                return outcomes.NotRun(outcomes.Reason.target_unreachable)
        way.append(call.address)
        if (
            is_kept
            and world.chance.random()
            < world.order_troubles.extra_answer_fraction
        ):
            world.later(world.network.transit(), _give, answer, EXTRA)
        instance = world.instances.get(self.name)
        delay = world.network.transit()
        delay += world.chance.uniform(0, world.network.max_order_delay_seconds)
        if instance is not None:
            world.later(delay, self._arrive, call, answer, instance, target)
        return await answer

    def _at(self, address: str) -> modelled_targets.Target | None:
        return next(
            (
                target
                for target in self.world.targets
                if target.address == address and target.is_up
            ),
            None,
        )

    def _arrive(
        self,
        call: sender.Call,
        answer: 'asyncio.Future[outcomes.Outcome]',
        instance: 'lease_instance.Instance',
        meant: modelled_targets.Target | None,
        *,
        is_held_up: bool = False,
    ) -> None:
        """Lets an order arrive.

        A sender that gives it up or ends takes back only what a cut holds up.
        """
        world = self.world
        target = self._at(call.address)
        is_given_up = answer.done() or instance.process.is_dead
        if is_held_up and is_given_up:
            return
        if target is None or meant is not target:
            refused = outcomes.Unknown(outcomes.Reason.answer_lost)
            world.later(world.network.transit(), _give, answer, refused)
            return
        if world.network.is_cut(self.name, target.name):
            # Bytes that a cut holds up arrive when it heals.
            world.later(
                HELD_UP_SECONDS,
                functools.partial(self._arrive, is_held_up=True),
                call,
                answer,
                instance,
                meant,
            )
            return
        self._take(call, target, answer)

    def _take(
        self,
        call: sender.Call,
        target: modelled_targets.Target,
        answer: 'asyncio.Future[outcomes.Outcome]',
    ) -> None:
        """Lets a target carry an order out, now or later, answered or not."""
        world = self.world
        lost = world.chance.random() < world.order_troubles.lost_fraction
        late = world.order_troubles.late_seconds
        if lost and late is not None:
            world.later(
                world.chance.uniform(*late),
                self._carry_out,
                (call, target, target.born, world.now()),
                answer,
            )
            return
        self._carry_out(
            (call, target, target.born, world.now()),
            None if lost else answer,
        )

    def _carry_out(
        self,
        arrived: tuple[sender.Call, modelled_targets.Target, int, float],
        answer: 'asyncio.Future[outcomes.Outcome] | None',
    ) -> None:
        call, target, born, arrived_at = arrived
        world = self.world
        if not target.is_up or target.born != born:
            return
        if call.headers['x-target-instance'] != target.name:
            outcome = modelled_targets.order_answer(
                modelled_targets.MISDIRECTED_STATUS
            )
            world.later(world.network.transit(), _give, answer, outcome)
            return
        seconds: float = 0
        status = modelled_targets.OK_STATUS
        word = ''
        if call.path.endswith('grant'):
            status = self._grant(target, call, arrived_at)
        elif call.path.endswith('release'):
            word = 'word'
            seconds = self._release(target, call)
        world.giver = self.name
        outcome = modelled_targets.order_answer(status, word)
        world.later(seconds + world.network.transit(), _give, answer, outcome)

    def _grant(
        self,
        target: modelled_targets.Target,
        call: sender.Call,
        arrived_at: float,
    ) -> int:
        world = self.world
        order = modelled_targets.parse_order(call)
        now = world.now()
        excused = world.is_excused(self.name, target.name, arrived_at)
        status = target.grant(arrived_at, order, creates_lease=not excused)
        if status == modelled_targets.OK_STATUS and not excused:
            modelled_targets.check_grant(
                world.rules, world.targets, target, order, now
            )
        return status

    def _release(
        self,
        target: modelled_targets.Target,
        call: sender.Call,
    ) -> float:
        world = self.world
        order = modelled_targets.parse_order(call)
        longest = world.chance.choice((0, modelled_targets.MAX_WORK_SECONDS))
        work = world.chance.uniform(0, longest)
        now = world.now()
        return target.release(now, order, work) - now


def _own(call: sender.Call, found: outcomes.Outcome) -> outcomes.Outcome:
    """Returns an answer if it is the call's own, as connections tell."""
    if not isinstance(found, outcomes.Answered):
        return found
    if marks.are_own(call.marked, found.status, found.headers):
        return found
    return outcomes.Unknown(outcomes.Reason.answer_lost)


def _give(
    answer: 'asyncio.Future[outcomes.Outcome] | None',
    outcome: outcomes.Outcome,
) -> None:
    if answer is not None and not answer.done():
        answer.set_result(outcome)


def _json(status: int, told: dict[str, typing.Any]) -> outcomes.Answered:
    return outcomes.Answered(status, (), json.dumps(told).encode())
