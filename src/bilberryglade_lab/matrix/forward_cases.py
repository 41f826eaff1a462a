"""Rows of the forward's messages, over its pure decisions alone."""

import random
import typing

from bilberryglade._delivery import forward_protocol
from bilberryglade._values import outcomes
from bilberryglade_lab.matrix import rows
from bilberryglade_lab.observers import violations

PATIENCE: typing.Final = 20
STEPS: typing.Final = 60
#: Probabilities, in percent, with which a striking fault hits a message.
HIT_PERCENT: typing.Final = 40
LOSSES: typing.Final = frozenset(
    (
        'message_dropped',
        'answer_lost',
        'connection_silent',
        'partition_peers',
        'partition_both',
        'partition_one_way',
    ),
)
DELAYS: typing.Final = frozenset(
    ('message_delayed', 'message_reordered', 'pause'),
)
APART: typing.Final = (
    'freeze_and_return',
    'target_cold',
    'crashing_request',
    'key_withdrawn',
    'log_down',
    'partition_platform',
)


class Travelling(typing.NamedTuple):
    """A message on its way."""

    arrives: int
    kind: str


class Exchange:
    """One forward of a request that may not be repeated, step by step."""

    def __init__(self, seed: int, struck: frozenset[str], step: str) -> None:
        """Lets `struck` hit the messages that belong to `step`."""
        self.draw = random.Random(seed)
        self.struck = struck
        self.kind = step.removeprefix('delivery.forward_')
        self.offer: forward_protocol.SentForward | None = (
            forward_protocol.SentForward(False, 'leader', 1)
        )
        self.desk = forward_protocol.ReceivedForwards()
        self.on_wire: list[Travelling] = []
        self.runs = 0
        self.told: outcomes.Outcome | None = None

    def run(self) -> list[violations.Violation]:
        """Plays the exchange to its end and returns what is wrong."""
        self.post('forward', 0)
        for now in range(STEPS):
            self.step(now)
        found: list[violations.Violation] = []
        if self.runs > 1:
            found.append(
                violations.Violation('at most once', f'ran {self.runs} times'),
            )
        if isinstance(self.told, outcomes.NotRun) and self.runs:
            found.append(violations.Violation('not run is true', 'it ran'))
        return found

    def step(self, now: int) -> None:
        """Hands over what is due, and lets the sender give up in time."""
        due = [row for row in self.on_wire if row.arrives <= now]
        self.on_wire = [row for row in self.on_wire if row.arrives > now]
        for row in due:
            self.arrive(row.kind, now)
        if 'loss' in self.struck and self.hits():
            self.desk = forward_protocol.ReceivedForwards()
        if now == PATIENCE and self.offer is not None:
            self.told = forward_protocol.outcome_without_answer(self.offer)
            self.offer = None

    def arrive(self, kind: str, now: int) -> None:
        """Lets the receiver of a message decide."""
        if kind == 'forward':
            verdict = forward_protocol.on_forward(
                self.desk, 'r', False, now + PATIENCE, now
            )
            self.desk = verdict.received
            self.runs += verdict.runs
            if verdict.accepts:
                self.post('accepted', now)
        elif kind == 'proceed':
            verdict = forward_protocol.on_proceed(self.desk, 'r', now)
            self.desk = verdict.received
            self.runs += verdict.runs
        elif self.offer is not None and not self.offer.accepted:
            self.offer = self.offer._replace(accepted=True)
            self.post('proceed', now)

    def post(self, kind: str, now: int) -> None:
        """Puts a message on the wire, as the faults have it."""
        at_step = kind in {self.kind, 'forward'}
        copies = 1
        if at_step and self.struck & LOSSES and self.hits():
            copies = 0
        if at_step and 'message_duplicated' in self.struck:
            copies *= 2
        for _ in range(copies):
            late = 0
            if at_step and self.struck & DELAYS and self.hits():
                late = self.draw.randrange(2 * PATIENCE)
            self.on_wire.append(Travelling(now + 1 + late, kind))

    def hits(self) -> bool:
        """Tells whether a fault hits now."""
        return self.draw.randrange(100) < HIT_PERCENT


def _register(step: str) -> None:
    @rows.sweep(step, *sorted(LOSSES | DELAYS), 'message_duplicated', 'loss')
    def forward(  # noqa: WPS430
        seed: int,
        struck: frozenset[str],
    ) -> list[violations.Violation]:
        return Exchange(seed, struck, step).run()

    for fault in APART:
        rows.not_applicable(
            step,
            fault,
            'the step needs neither the log nor a target',
        )


_register(forward_protocol.ACCEPTED.name)
_register(forward_protocol.PROCEED.name)
