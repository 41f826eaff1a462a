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
PROBE_TIMEOUT_SECONDS: typing.Final = 0.2
#: Failures in a row after which a target counts as gone.
GONE_AFTER_FAILURES: typing.Final = 3
GONE_AFTER_SECONDS: typing.Final = 0.4
#: Answers in a row after which a target that was gone counts as live.
LIVE_AFTER_ANSWERS: typing.Final = 3
OK_STATUS: typing.Final = 200


class ProbeHistory(typing.NamedTuple):
    """How a target answered lately."""

    failures: int = 0
    #: Monotonic seconds of the first of those failures.
    failing_since: float = 0
    answers: int = 0


def after_answer(history: ProbeHistory) -> ProbeHistory:
    """Returns the standing after an answer."""
    return ProbeHistory(answers=history.answers + 1)


def after_failure(history: ProbeHistory, now: float) -> ProbeHistory:
    """Returns the standing after an attempt that failed."""
    since = history.failing_since if history.failures else now
    return ProbeHistory(history.failures + 1, since)


def next_state(current: str, history: ProbeHistory, now: float) -> str:
    """Returns the state that a target should have by its standing."""
    if current == 'live' and history.failures >= GONE_AFTER_FAILURES:
        has_lasted = now - history.failing_since >= GONE_AFTER_SECONDS
        return 'gone' if has_lasted else current
    if current == 'gone' and history.answers >= LIVE_AFTER_ANSWERS:
        return 'live'
    return current


class Prober:
    """Probes targets and keeps how they stand."""

    def __init__(self, http: sender.Sender) -> None:
        """Talks through `http`."""
        self.http = http
        self.histories: dict[str, ProbeHistory] = {}

    async def probe(self, target: state.TargetState) -> bool:
        """Asks for a target's health; returns whether it is well."""
        answered = await self._is_healthy(target.address)
        self.record_attempt(target.target, answered=answered)
        return answered

    def record_attempt(self, target: str, *, answered: bool) -> None:
        """Takes in whether an attempt was answered."""
        history = self.histories.get(target, ProbeHistory())
        if answered:
            self.histories[target] = after_answer(history)
            return
        now = time.monotonic()
        self.histories[target] = after_failure(history, now)

    def is_failing(self, target: str) -> bool:
        """Tells whether the newest attempt failed."""
        return self.histories.get(target, ProbeHistory()).failures > 0

    def forget(self, target: str) -> None:
        """Starts anew with a target."""
        self.histories.pop(target, None)

    async def _is_healthy(self, address: str) -> bool:
        call = sender.Call(
            address, 'GET', '/-/health', {}, b'', PROBE_TIMEOUT_SECONDS
        )
        outcome = await self.http.send(call, on_fresh=True)
        if not isinstance(outcome, outcomes.Answered):
            return False
        return outcome.status == OK_STATUS
