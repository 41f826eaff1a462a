"""Probes led targets and decides by their answers whether they are live."""

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
#: Consecutive failures after which a target counts as gone.
GONE_AFTER_FAILURES: typing.Final = 3
#: Shortest time over which these failures must last.
GONE_AFTER_SECONDS: typing.Final = 0.4
#: Consecutive answers after which a target that was gone counts as live.
LIVE_AFTER_ANSWERS: typing.Final = 3
OK_STATUS: typing.Final = 200


class ProbeHistory(typing.NamedTuple):
    """The newest consecutive failures or answers of a target."""

    #: Consecutive failures up to now.
    failures: int = 0
    #: Monotonic seconds of the first of these failures.
    failing_since: float = 0
    #: Consecutive answers up to now.
    answers: int = 0


def after_answer(history: ProbeHistory) -> ProbeHistory:
    """Returns the history after an answer."""
    return ProbeHistory(answers=history.answers + 1)


def after_failure(history: ProbeHistory, now: float) -> ProbeHistory:
    """Returns the history after an attempt that failed."""
    since = history.failing_since if history.failures else now
    return ProbeHistory(history.failures + 1, since)


def next_state(current: str, history: ProbeHistory, now: float) -> str:
    """Returns the state of a target that its probe history calls for."""
    if current == 'live' and history.failures >= GONE_AFTER_FAILURES:
        has_lasted = now - history.failing_since >= GONE_AFTER_SECONDS
        return 'gone' if has_lasted else current
    if current == 'gone' and history.answers >= LIVE_AFTER_ANSWERS:
        return 'live'
    return current


class Prober:
    """Probes targets and keeps a history of their answers."""

    def __init__(self, http: sender.Sender) -> None:
        """Sends probes through `http`."""
        self.http = http
        self.histories: dict[str, ProbeHistory] = {}

    async def probe(self, target: state.TargetState) -> bool:
        """Probes a target once and returns whether it is healthy."""
        answered = await self._is_healthy(target.address)
        self.record_attempt(target.target, answered=answered)
        return answered

    def record_attempt(self, target: str, *, answered: bool) -> None:
        """Records whether a target answered a probe or another message."""
        history = self.histories.get(target, ProbeHistory())
        if answered:
            self.histories[target] = after_answer(history)
            return
        now = time.monotonic()
        self.histories[target] = after_failure(history, now)

    def is_failing(self, target: str) -> bool:
        """Returns whether the newest attempt to reach `target` failed."""
        return self.histories.get(target, ProbeHistory()).failures > 0

    def forget(self, target: str) -> None:
        """Discards the probe history of a target."""
        self.histories.pop(target, None)

    async def _is_healthy(self, address: str) -> bool:
        """Returns whether the health endpoint answers with status 200."""
        call = sender.Call(
            address, 'GET', '/-/health', {}, b'', PROBE_TIMEOUT_SECONDS
        )
        outcome = await self.http.send(call, on_fresh=True)
        if not isinstance(outcome, outcomes.Answered):
            return False
        return outcome.status == OK_STATUS
