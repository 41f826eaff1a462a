"""Watches for targets that die while they run something.

A death needs two signs: an exchange that ended badly, and a target that then
refuses connections or says that it is down. A target that does not answer may
be cut off or frozen, and blames nobody.
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

TELL: typing.Final = steps.declare(
    'quarantine.tell_death',
    steps.StepKind.message,
)
#: Time in which all exchanges of a target that died end.
GATHER_SECONDS: typing.Final = 0.05
COMMIT_SECONDS: typing.Final = 2.0
SERVER_ERROR: typing.Final = 500
#: Suspects that one message names.
MAX_SUSPECTS: typing.Final = 64
#: Targets that one record names.
MAX_NAMED_TARGETS: typing.Final = 16

Runner: typing.TypeAlias = abc.Callable[[], abc.Awaitable[outcomes.Outcome]]


class CrashWatch:
    """Blames requests for deaths, and refuses those in quarantine."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        writer: recorder.Recorder,
        targets: client.TargetClient,
        peers: network.PeerNetwork,
    ) -> None:
        """Acts as `instance`."""
        self.instance = instance
        self.reader = reader
        self.writer = writer
        self.targets = targets
        self.peers = peers
        self.inquest = quarantine.Inquest()
        #: By fingerprint.
        self.learnt: dict[str, quarantine.Learnt] = {}
        #: Fingerprints whose exchange with a target has just ended badly.
        self.ended: dict[str, set[str]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def observe(self, view: state.ClusterState) -> None:
        """Notes when quarantines came into force."""
        self.learnt = quarantine.learn(
            view.quarantined,
            self.learnt,
            time.monotonic(),
        )

    def refuses(self, request: requests.RoutedRequest) -> bool:
        """Tells whether a request is in quarantine."""
        quarantined = self.reader.view.quarantined
        if not quarantined:
            return False
        return quarantine.in_force(
            quarantined,
            self.learnt,
            quarantine.fingerprint_of(request),
            time.monotonic(),
        )

    async def run(
        self,
        request: requests.RoutedRequest,
        target: state.TargetState,
        run: Runner,
    ) -> outcomes.Outcome:
        """Runs `request` by `run` and learns from how it ended."""
        outcome = await run()
        if isinstance(outcome, outcomes.NotRun):
            return outcome
        is_bad = isinstance(outcome, outcomes.Unknown) or (
            outcome.status >= SERVER_ERROR
        )
        if is_bad:
            self._suspect(request, target)
        elif self.inquest.deaths:
            self.inquest = quarantine.on_survival(
                self.inquest,
                quarantine.fingerprint_of(request),
            )
        return outcome

    def take_death(self, message: peer.TargetDied) -> None:
        """Takes in a death that a peer saw; the peer draws the conclusion."""
        death = quarantine.Death(
            message['death_id'],
            message['target'],
            frozenset(message['suspects']),
        )
        self.inquest = quarantine.on_death(self.inquest, death).inquest

    def _suspect(
        self,
        request: requests.RoutedRequest,
        target: state.TargetState,
    ) -> None:
        fingerprint = quarantine.fingerprint_of(request)
        known = self.ended.get(target.target)
        if known is not None:
            known.add(fingerprint)
            return
        self.ended[target.target] = {fingerprint}
        task = asyncio.create_task(self._examine(target))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _examine(self, target: state.TargetState) -> None:
        await asyncio.sleep(GATHER_SECONDS)
        has_fallen = await self.targets.has_fallen(target.address)
        suspects = frozenset(self.ended.pop(target.target))
        if not has_fallen or len(suspects) > MAX_SUSPECTS:
            return
        death = quarantine.Death(
            recorder.new_record_id(),
            target.target,
            suspects,
        )
        self._tell(death)
        finding = quarantine.on_death(self.inquest, death)
        self.inquest = finding.inquest
        if finding.guilty:
            await self._quarantine(finding, target.service)

    def _tell(self, death: quarantine.Death) -> None:
        message: peer.TargetDied = {
            'kind': 'target_died',
            'version': handlers.VERSION,
            'sender': self.instance,
            'death_id': death.death_id,
            'target': death.target,
            'suspects': sorted(death.suspects),
        }
        for member in self.reader.view.members.values():
            if member.instance != self.instance:
                self.peers.send(member.peer_address, message)

    async def _quarantine(
        self,
        finding: quarantine.Finding,
        service: str,
    ) -> None:
        record = {
            'id': recorder.new_record_id(),
            'kind': 'request_quarantined',
            'fingerprint': finding.guilty,
            'service': service,
            'targets': list(finding.targets[:MAX_NAMED_TARGETS]),
        }
        await self.writer.commit(record, COMMIT_SECONDS)
