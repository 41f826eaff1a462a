"""Detects targets that crash while they run a request.

A crash needs two signs: an exchange that failed, and a target that afterwards
refuses connections or reports that it is down. A target that does not answer
may be cut off or frozen, so no request is blamed for it.
"""

import asyncio
import time
import typing
from collections import abc

from bilberryglade._delivery import quarantine
from bilberryglade._log import follower, recorder
from bilberryglade._peers import handlers, network
from bilberryglade._state import state
from bilberryglade._targets import client
from bilberryglade._values import outcomes, requests, steps
from bilberryglade_schema import peer

REPORT_CRASH: typing.Final = steps.declare(
    'quarantine.tell_death',
    steps.StepKind.message,
)
#: Time in which all exchanges with a crashed target fail.
GATHER_SECONDS: typing.Final = 0.05
#: Longest wait for a quarantine record to be committed to the log.
COMMIT_TIMEOUT_SECONDS: typing.Final = 2.0
#: Lowest HTTP status of an answer that counts as a failure of the target.
SERVER_ERROR_STATUS: typing.Final = 500
#: Suspects that one crash report may name; a crash with more is ignored.
MAX_SUSPECTS: typing.Final = 64
#: Targets that one quarantine record may name.
MAX_RECORD_TARGETS: typing.Final = 16

Runner: typing.TypeAlias = abc.Callable[[], abc.Awaitable[outcomes.Outcome]]


class CrashWatch:
    """Finds requests that crash targets and has them quarantined."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        writer: recorder.Recorder,
        target_client: client.TargetClient,
        peers: network.PeerNetwork,
    ) -> None:
        """Acts as `instance`; `writer` records quarantines in the log."""
        self.instance = instance
        self.reader = reader
        self.writer = writer
        self.target_client = target_client
        self.peers = peers
        self.history = quarantine.CrashHistory()
        #: Quarantines that this instance has folded, by fingerprint.
        self.applied: dict[str, quarantine.AppliedQuarantine] = {}
        #: Fingerprints of requests that have just failed at a target, by target.
        self.suspects: dict[str, set[str]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def observe(self, view: state.ClusterState) -> None:
        """Notes the times of quarantines that are new or renewed in `view`."""
        self.applied = quarantine.update_applied(
            view.quarantined,
            self.applied,
            time.monotonic(),
        )

    def is_quarantined(self, request: requests.RoutedRequest) -> bool:
        """Returns whether a request is in quarantine, and so refused."""
        quarantined = self.reader.view.quarantined
        if not quarantined:
            return False
        return quarantine.is_quarantined(
            quarantined,
            self.applied,
            quarantine.fingerprint_of(request),
            time.monotonic(),
        )

    async def run(
        self,
        request: requests.RoutedRequest,
        target: state.TargetState,
        run_request: Runner,
    ) -> outcomes.Outcome:
        """Calls `run_request` and updates the crash suspects by its outcome."""
        outcome = await run_request()
        if isinstance(outcome, outcomes.NotRun):
            return outcome
        is_failure = isinstance(outcome, outcomes.Unknown) or (
            outcome.status >= SERVER_ERROR_STATUS
        )
        if is_failure:
            self._add_suspect(request, target)
        elif self.history.crashes:
            self.history = quarantine.on_answer(
                self.history,
                quarantine.fingerprint_of(request),
            )
        return outcome

    def handle_crash(self, message: peer.TargetDied) -> None:
        """Records a crash that a peer reports; the peer decides about blame."""
        crash = quarantine.TargetCrash(
            message['death_id'],
            message['target'],
            frozenset(message['suspects']),
        )
        self.history = quarantine.on_crash(self.history, crash).history

    def _add_suspect(
        self,
        request: requests.RoutedRequest,
        target: state.TargetState,
    ) -> None:
        fingerprint = quarantine.fingerprint_of(request)
        suspects = self.suspects.get(target.target)
        if suspects is not None:
            suspects.add(fingerprint)
            return
        self.suspects[target.target] = {fingerprint}
        task = asyncio.create_task(self._check_target(target))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _check_target(self, target: state.TargetState) -> None:
        await asyncio.sleep(GATHER_SECONDS)
        has_crashed = await self.target_client.has_fallen(target.address)
        suspects = frozenset(self.suspects.pop(target.target))
        if not has_crashed or len(suspects) > MAX_SUSPECTS:
            return
        crash = quarantine.TargetCrash(
            recorder.new_record_id(),
            target.target,
            suspects,
        )
        self._report_crash(crash)
        analysis = quarantine.on_crash(self.history, crash)
        self.history = analysis.history
        if analysis.blamed_fingerprint:
            await self._record_quarantine(analysis, target.service)

    def _report_crash(self, crash: quarantine.TargetCrash) -> None:
        message: peer.TargetDied = {
            'kind': 'target_died',
            'version': handlers.VERSION,
            'sender': self.instance,
            'death_id': crash.crash_id,
            'target': crash.target,
            'suspects': sorted(crash.suspects),
        }
        for member in self.reader.view.members.values():
            if member.instance != self.instance:
                self.peers.send(member.peer_address, message)

    async def _record_quarantine(
        self,
        analysis: quarantine.CrashAnalysis,
        service: str,
    ) -> None:
        record = {
            'id': recorder.new_record_id(),
            'kind': 'request_quarantined',
            'fingerprint': analysis.blamed_fingerprint,
            'service': service,
            'targets': list(analysis.targets[:MAX_RECORD_TARGETS]),
        }
        await self.writer.commit(record, COMMIT_TIMEOUT_SECONDS)
