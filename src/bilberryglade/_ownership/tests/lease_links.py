"""Simulated connections of an instance to peers, the store and targets."""

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
    from bilberryglade._ownership.tests import lease_instance, lease_simulation

#: Time after which an attempt to connect fails, with nothing sent.
CONNECT_TIMEOUT_SECONDS: typing.Final = 0.3
#: Probability that an order goes over a kept connection, if it is allowed to.
KEPT_CONNECTION_PROBABILITY: typing.Final = 0.7
#: Interval of the checks whether a network cut has healed.
CUT_CHECK_INTERVAL_SECONDS: typing.Final = 0.02
#: Interval of the checks for news while a read of the store waits for them.
POLL_CHECK_SECONDS: typing.Final = 0.02
UNAVAILABLE_STATUS: typing.Final = 503
#: A stray answer: only answers to requests, not to orders, have a request id.
EXTRA_ANSWER: typing.Final = outcomes.Answered(
    store_model.OK,
    (outcomes.Header(headers.REQUEST_ID, 'r'),),
    b'',
)


class PeerLink:
    """Simulated connections to other instances."""

    def __init__(
        self, simulation: 'lease_simulation.Simulation', name: str
    ) -> None:
        """Sends the messages of the instance called `name`."""
        self.simulation = simulation
        self.name = name

    def send(self, address: str, message: abc.Mapping[str, object]) -> bool:
        """Sends a message; the address of an instance is its name here."""
        simulation = self.simulation
        simulation.call_later(
            simulation.network.transit(), self._deliver, address, message
        )
        return True

    def send_all(
        self,
        addresses: abc.Iterable[str],
        message: abc.Mapping[str, object],
    ) -> None:
        """Sends a message to several instances."""
        for address in addresses:
            self.send(address, message)

    def forget(self, _: abc.Container[str]) -> None:
        """Does nothing: there are no connections to close."""

    def _deliver(
        self,
        address: str,
        message: abc.Mapping[str, object],
    ) -> None:
        receiver = self.simulation.instances.get(address)
        if receiver is None or self.simulation.network.is_cut(
            self.name, address
        ):
            return
        self.simulation.loop.call_soon(
            receiver.receive, message, context=receiver.process.context
        )


class StoreLink:
    """Simulated connection of one instance to the store."""

    def __init__(
        self, simulation: 'lease_simulation.Simulation', name: str
    ) -> None:
        """Sends the calls of the instance called `name`."""
        self.simulation = simulation
        self.name = name

    async def send(
        self,
        call: sender.Call,
        *,
        on_fresh: bool,
    ) -> outcomes.Outcome:
        """Sends a call to the store; see `sender.Sender.send`."""
        simulation = self.simulation
        faults = simulation.store_faults
        query = _query_of(call)
        if (
            self.name in faults.refused_instances
            or query['topic'] in faults.refused_topics
        ):
            await asyncio.sleep(simulation.network.transit())
            return outcomes.Answered(UNAVAILABLE_STATUS, (), b'')
        answer: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        delay = simulation.network.transit()
        if faults.max_delay_seconds:
            delay += simulation.rng.uniform(0, faults.max_delay_seconds)
        is_lost = (
            call.method == 'POST'
            and simulation.rng.random() < faults.lost_fraction
        )
        if is_lost and faults.max_late_seconds:
            delay += simulation.rng.uniform(1, faults.max_late_seconds)
        waits_until = simulation.now() + int(query.get('wait_ms', '0')) / 1000
        simulation.call_later(
            delay, self._execute, call, answer, is_lost, waits_until
        )
        try:
            async with asyncio.timeout(call.seconds):
                return await answer
        except TimeoutError:
            return outcomes.Unknown(outcomes.Reason.deadline)

    def _execute(
        self,
        call: sender.Call,
        answer: 'asyncio.Future[outcomes.Outcome]',
        is_lost: bool,
        waits_until: float,
    ) -> None:
        simulation = self.simulation
        is_cut = simulation.network.is_cut(self.name, 'store')
        if is_cut or simulation.store_faults.is_unavailable or answer.done():
            return
        if self._has_no_news(call) and simulation.now() < waits_until:
            simulation.call_later(
                POLL_CHECK_SECONDS,
                self._execute,
                call,
                answer,
                is_lost,
                waits_until,
            )
            return
        outcome = self._answer(call)
        if not is_lost:
            simulation.call_later(
                simulation.network.transit(), _set_answer, answer, outcome
            )

    def _has_no_news(self, call: sender.Call) -> bool:
        query = _query_of(call)
        if 'from' not in query:
            return False
        partition = self.simulation.model.partition(query)
        return bool(partition.end == int(query['from']))

    def _answer(self, call: sender.Call) -> outcomes.Outcome:
        path = call.path.partition('?')[0]
        query = _query_of(call)
        model = self.simulation.model
        partition = model.partition(query)
        headers = tuple(
            outcomes.Header(name, text)
            for name, text in model.headers().items()
        )
        operation = path.rpartition('/')[2]
        if operation == 'log-append':
            status, response = partition.append(query, call.body)
            return _json_answer(status, response, headers)
        if operation == 'log-newest':
            newest = partition.newest('')
            return _json_answer(store_model.OK, newest, headers)
        raw = partition.read(int(query['from']))
        status = store_model.GONE if raw is None else store_model.OK
        return outcomes.Answered(status, headers, raw or b'')


class TargetLink:
    """Simulated connections of one instance to targets."""

    def __init__(
        self, simulation: 'lease_simulation.Simulation', name: str
    ) -> None:
        """Sends the orders of the instance called `name`."""
        self.simulation = simulation
        self.name = name

    async def send(
        self,
        call: sender.Call,
        *,
        on_fresh: bool,
    ) -> outcomes.Outcome:
        """Sends an order to a target; see `sender.Sender.send`."""
        sent_to: list[str] = []
        answer: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        try:
            async with asyncio.timeout(call.seconds):
                outcome = await self._exchange(call, on_fresh, answer, sent_to)
        except TimeoutError:
            if sent_to:
                return outcomes.Unknown(outcomes.Reason.deadline)
            return outcomes.NotRun(outcomes.Reason.target_unreachable)
        finally:
            answer.cancel()
        return _checked_outcome(call, outcome)

    async def _exchange(
        self,
        call: sender.Call,
        on_fresh: bool,
        answer: 'asyncio.Future[outcomes.Outcome]',
        sent_to: list[str],
    ) -> outcomes.Outcome:
        """Sends an order and waits; adds its address to `sent_to` once sent."""
        simulation = self.simulation
        target = self._target_at(call.address)
        uses_kept_connection = (
            not on_fresh
            and simulation.rng.random() <= KEPT_CONNECTION_PROBABILITY
        )
        # The real HTTP client yields to the event loop once before it sends.
        await asyncio.sleep(0)
        if not uses_kept_connection:
            await asyncio.sleep(simulation.network.transit())
            if target is None:
                return outcomes.NotRun(outcomes.Reason.target_unreachable)
            if simulation.network.is_cut(self.name, target.name):
                await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
                return outcomes.NotRun(outcomes.Reason.target_unreachable)
        sent_to.append(call.address)
        if (
            uses_kept_connection
            and simulation.rng.random()
            < simulation.order_faults.extra_answer_fraction
        ):
            simulation.call_later(
                simulation.network.transit(), _set_answer, answer, EXTRA_ANSWER
            )
        instance = simulation.instances.get(self.name)
        delay = simulation.network.transit()
        delay += simulation.rng.uniform(
            0, simulation.network.max_order_delay_seconds
        )
        if instance is not None:
            simulation.call_later(
                delay, self._arrive, call, answer, instance, target
            )
        return await answer

    def _target_at(self, address: str) -> modelled_targets.Target | None:
        return next(
            (
                target
                for target in self.simulation.targets
                if target.address == address and target.is_up
            ),
            None,
        )

    def _arrive(
        self,
        call: sender.Call,
        answer: 'asyncio.Future[outcomes.Outcome]',
        instance: 'lease_instance.Instance',
        intended: modelled_targets.Target | None,
        *,
        is_held_up: bool = False,
    ) -> None:
        """Delivers an order, unless a network cut holds it up.

        If the sender gives up or ends, only an order that is held up is lost.
        """
        simulation = self.simulation
        target = self._target_at(call.address)
        is_given_up = answer.done() or instance.process.is_dead
        if is_held_up and is_given_up:
            return
        if target is None or intended is not target:
            lost_answer = outcomes.Unknown(outcomes.Reason.answer_lost)
            simulation.call_later(
                simulation.network.transit(), _set_answer, answer, lost_answer
            )
            return
        if simulation.network.is_cut(self.name, target.name):
            # Bytes that a cut holds up arrive once it has healed.
            simulation.call_later(
                CUT_CHECK_INTERVAL_SECONDS,
                functools.partial(self._arrive, is_held_up=True),
                call,
                answer,
                instance,
                intended,
            )
            return
        self._receive(call, target, answer)

    def _receive(
        self,
        call: sender.Call,
        target: modelled_targets.Target,
        answer: 'asyncio.Future[outcomes.Outcome]',
    ) -> None:
        """Executes an order at the target; by fault, late or without an answer."""
        simulation = self.simulation
        is_lost = (
            simulation.rng.random() < simulation.order_faults.lost_fraction
        )
        delay_bounds = simulation.order_faults.late_seconds
        if is_lost and delay_bounds is not None:
            simulation.call_later(
                simulation.rng.uniform(*delay_bounds),
                self._execute,
                (call, target, target.born, simulation.now()),
                answer,
            )
            return
        self._execute(
            (call, target, target.born, simulation.now()),
            None if is_lost else answer,
        )

    def _execute(
        self,
        arrival: tuple[sender.Call, modelled_targets.Target, int, float],
        answer: 'asyncio.Future[outcomes.Outcome] | None',
    ) -> None:
        call, target, born, arrived_at = arrival
        simulation = self.simulation
        if not target.is_up or target.born != born:
            return
        if call.headers['x-target-instance'] != target.name:
            outcome = modelled_targets.order_answer(
                modelled_targets.MISDIRECTED_STATUS
            )
            simulation.call_later(
                simulation.network.transit(), _set_answer, answer, outcome
            )
            return
        work_seconds: float = 0
        status = modelled_targets.OK_STATUS
        handover = ''
        if call.path.endswith('grant'):
            status = self._grant(target, call, arrived_at)
        elif call.path.endswith('release'):
            handover = 'token'
            work_seconds = self._release(target, call)
        simulation.last_order_sender = self.name
        outcome = modelled_targets.order_answer(status, handover)
        simulation.call_later(
            work_seconds + simulation.network.transit(),
            _set_answer,
            answer,
            outcome,
        )

    def _grant(
        self,
        target: modelled_targets.Target,
        call: sender.Call,
        arrived_at: float,
    ) -> int:
        simulation = self.simulation
        order = modelled_targets.parse_order(call)
        now = simulation.now()
        is_excused = simulation.is_excused(self.name, target.name, arrived_at)
        status = target.grant(arrived_at, order, creates_lease=not is_excused)
        if status == modelled_targets.OK_STATUS and not is_excused:
            modelled_targets.check_grant(
                simulation.rules, simulation.targets, target, order, now
            )
        return status

    def _release(
        self,
        target: modelled_targets.Target,
        call: sender.Call,
    ) -> float:
        simulation = self.simulation
        order = modelled_targets.parse_order(call)
        max_work_seconds = simulation.rng.choice(
            (0, modelled_targets.MAX_WORK_SECONDS)
        )
        work_seconds = simulation.rng.uniform(0, max_work_seconds)
        now = simulation.now()
        return target.release(now, order, work_seconds) - now


def _checked_outcome(
    call: sender.Call, outcome: outcomes.Outcome
) -> outcomes.Outcome:
    """Returns `Unknown` for an answer that belongs to another call."""
    if not isinstance(outcome, outcomes.Answered):
        return outcome
    if marks.are_own(call.marked, outcome.status, outcome.headers):
        return outcome
    return outcomes.Unknown(outcomes.Reason.answer_lost)


def _query_of(call: sender.Call) -> dict[str, str]:
    return dict(urls.parse_qsl(call.path.partition('?')[2]))


def _set_answer(
    answer: 'asyncio.Future[outcomes.Outcome] | None',
    outcome: outcomes.Outcome,
) -> None:
    if answer is not None and not answer.done():
        answer.set_result(outcome)


def _json_answer(
    status: int,
    response: dict[str, typing.Any],
    headers: tuple[outcomes.Header, ...],
) -> outcomes.Answered:
    return outcomes.Answered(status, headers, json.dumps(response).encode())
