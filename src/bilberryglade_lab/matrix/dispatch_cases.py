"""Rows of the step `delivery.send_to_target`: faults between check and send.

A strict target, with a fence, a cold limit and a journal of its own, takes the
sends; the observer compares that journal with what the dispatcher answered.
"""

import asyncio
import random
import time
import typing

from bilberryglade._delivery import dispatcher
from bilberryglade._state import state
from bilberryglade._targets import client
from bilberryglade._values import outcomes, requests
from bilberryglade_lab.matrix import rows
from bilberryglade_lab.observers import violations

STEP: typing.Final = dispatcher.SEND.name
FENCE: typing.Final = 5
REQUESTS: typing.Final = 12
PLACES: typing.Final = 3
#: Faults after which the leader must not send any more.
AUTHORITY_FAULTS: typing.Final = frozenset(
    ('partition_platform', 'partition_both', 'log_down', 'log_slow', 'pause'),
)
#: Faults after which the target itself must refuse.
LEASE_FAULTS: typing.Final = frozenset(('lease_lapsed', 'freeze_and_return'))
TARGET: typing.Final = state.TargetState(
    target='target-0',
    service='ledger',
    failure_domain='north',
    address='127.0.0.1:1',
    concurrency=PLACES,
    fenced=True,
    state='live',
    changed_at=1,
)


class Ran(typing.NamedTuple):
    """One run at the strict target."""

    request_id: str
    #: Whether the grant was valid when the run began.
    granted: bool
    #: Requests running at the same time, this one included.
    together: int


class StrictTarget(client.TargetClient):
    """Runs what its grant allows, and notes what it ran."""

    def __init__(self, chance: random.Random, struck: frozenset[str]) -> None:
        """Brings about the faults in `struck` at a moment drawn at random."""
        self.chance = chance
        self.struck = struck
        self.strikes_after = chance.randrange(1, REQUESTS)
        self.asked = 0
        self.running = 0
        self.journal: list[Ran] = []

    @property
    def has_struck(self) -> bool:
        """Whether the faults are in force."""
        return self.asked >= self.strikes_after

    def authorise(self, target: str, slot: int) -> int:
        """Returns the fence while the leader has authority."""
        self.asked += 1
        lost = self.has_struck and self.struck & AUTHORITY_FAULTS
        return 0 if lost else FENCE

    async def run(
        self,
        address: str,
        request: requests.RoutedRequest,
        grant: client.GrantHeaders,
        seconds: float,
    ) -> outcomes.Outcome:
        """Runs a request, refuses it, or falls."""
        lapsed = self.has_struck and bool(self.struck & LEASE_FAULTS)
        if lapsed:
            return outcomes.NotRun(outcomes.Reason.target_refused)
        self.running += 1
        authorised = not (self.has_struck and self.struck & AUTHORITY_FAULTS)
        self.journal.append(Ran(request.request_id, authorised, self.running))
        for _ in range(self.chance.randrange(1, 4)):
            await asyncio.sleep(0)
        self.running -= 1
        if self.has_struck and 'crashing_request' in self.struck:
            return outcomes.Unknown(outcomes.Reason.answer_lost)
        return outcomes.Answered(200, (), request.request_id.encode())


@rows.sweep(
    STEP,
    'crashing_request',
    'freeze_and_return',
    'lease_lapsed',
    'log_down',
    'log_slow',
    'partition_both',
    'partition_platform',
    'pause',
    'target_cold',
)
def send_case(
    seed: int,
    struck: frozenset[str],
) -> list[violations.Violation]:
    """Sends a burst while faults strike; the target starts cold."""
    return asyncio.run(_burst(random.Random(seed), struck))


async def _burst(
    chance: random.Random,
    struck: frozenset[str],
) -> list[violations.Violation]:
    target = StrictTarget(chance, struck)
    sender = dispatcher.Dispatcher(target, target.authorise, REQUESTS)
    names = [f'request-{number}' for number in range(REQUESTS)]
    chance.shuffle(names)
    found = await asyncio.gather(
        *(
            sender.run(dispatcher.Dispatch(_request(name), TARGET))
            for name in names
        ),
    )
    told = dict(zip(names, found, strict=True))
    return [
        *_unauthorised(target.journal),
        *_overloaded(target.journal),
        *_untruthful(target.journal, told),
    ]


def _unauthorised(journal: list[Ran]) -> list[violations.Violation]:
    return [
        violations.Violation('sent without authority', ran.request_id)
        for ran in journal
        if not ran.granted
    ]


def _overloaded(journal: list[Ran]) -> list[violations.Violation]:
    return [
        violations.Violation('cold target overloaded', str(ran))
        for ran in journal
        if ran.together > 1
    ]


def _untruthful(
    journal: list[Ran],
    told: dict[str, outcomes.Outcome],
) -> list[violations.Violation]:
    ran = [entry.request_id for entry in journal]
    broken: list[violations.Violation] = []
    for name, outcome in told.items():
        if ran.count(name) > 1:
            broken.append(violations.Violation('ran twice', name))
        if isinstance(outcome, outcomes.NotRun) and name in ran:
            broken.append(violations.Violation('not run, but ran', name))
        if not isinstance(outcome, outcomes.Answered):
            continue
        if outcome.body != name.encode():
            broken.append(violations.Violation('foreign answer', name))
    return broken


def _request(name: str) -> requests.RoutedRequest:
    return requests.RoutedRequest(
        request_id=name,
        organisation='minders',
        service='ledger',
        slot=7,
        key='child',
        method='GET',
        path='/ledger/child',
        headers=(),
        body=b'',
        deadline=time.monotonic() + 5,
        repeatable=True,
        idempotency_digest='',
    )


rows.not_applicable(
    STEP,
    'key_withdrawn',
    'the API key is checked at entry and before the answer',
)
rows.not_applicable(
    STEP,
    'loss',
    'a lost leader sends nothing; the entry answers unknown',
)
rows.not_applicable(
    STEP,
    'partition_one_way',
    'the send needs the leader and its target alone',
)
rows.not_applicable(
    STEP,
    'partition_peers',
    'authority comes from the log or a quorum, not here',
)
