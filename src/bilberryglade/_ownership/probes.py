"""Finds out from their own answers whether led targets are there."""

import time
import typing

from bilberryglade._state import state
from bilberryglade._targets import sender
from bilberryglade._values import outcomes, steps

PROBE: typing.Final = steps.declare(
    'ownership.probe_target',
    steps.StepKind.message,
)
PROBE_SECONDS: typing.Final = 0.2
#: Failures in a row after which a target counts as gone.
GONE_AFTER_FAILURES: typing.Final = 3
GONE_AFTER_SECONDS: typing.Final = 0.4
#: Answers in a row after which a target that was gone counts as live.
LIVE_AFTER_ANSWERS: typing.Final = 3
OK_STATUS: typing.Final = 200


class Standing(typing.NamedTuple):
    """How a target answered lately."""

    failures: int = 0
    #: Monotonic seconds of the first of those failures.
    failing_since: float = 0
    answers: int = 0


def after_answer(standing: Standing) -> Standing:
    """Returns the standing after an answer."""
    return Standing(answers=standing.answers + 1)


def after_failure(standing: Standing, now: float) -> Standing:
    """Returns the standing after an attempt that failed."""
    since = standing.failing_since if standing.failures else now
    return Standing(standing.failures + 1, since)


def state_wanted(known: str, standing: Standing, now: float) -> str:
    """Returns the state that a target should have by its standing."""
    if known == 'live' and standing.failures >= GONE_AFTER_FAILURES:
        lasted = now - standing.failing_since >= GONE_AFTER_SECONDS
        return 'gone' if lasted else known
    if known == 'gone' and standing.answers >= LIVE_AFTER_ANSWERS:
        return 'live'
    return known


class Prober:
    """Probes targets and keeps how they stand."""

    def __init__(self, http: sender.Sender) -> None:
        """Talks through `http`."""
        self.http = http
        self.standings: dict[str, Standing] = {}

    async def probe(self, target: state.TargetState) -> bool:
        """Asks for a target's health; returns whether it is well."""
        answered = await self._ask(target.address)
        self.note(target.target, answered=answered)
        return answered

    def note(self, target: str, *, answered: bool) -> None:
        """Takes in whether an attempt was answered."""
        standing = self.standings.get(target, Standing())
        if answered:
            self.standings[target] = after_answer(standing)
            return
        now = time.monotonic()
        self.standings[target] = after_failure(standing, now)

    def is_failing(self, target: str) -> bool:
        """Tells whether the newest attempt failed."""
        return self.standings.get(target, Standing()).failures > 0

    def forget(self, target: str) -> None:
        """Starts anew with a target."""
        self.standings.pop(target, None)

    async def _ask(self, address: str) -> bool:
        call = sender.Call(address, 'GET', '/-/health', {}, b'', PROBE_SECONDS)
        outcome = await self.http.send(call, on_fresh=True)
        if not isinstance(outcome, outcomes.Answered):
            return False
        return outcome.status == OK_STATUS
