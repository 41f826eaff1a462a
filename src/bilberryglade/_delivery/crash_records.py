"""Refuses requests that crash targets, together with all other instances.

Callers repeat such a request with another id, at any instance, so it is known by
its fingerprint. Crashes and answers that clear a request are told to all; what is
refused is compared with the coordinator, and stands in the store for those who
start (`crash_storage`). What speaks against a request, `crash_evidence` decides.
"""

import typing
from collections import abc

import xxhash

from bilberryglade._delivery import (
    crash_evidence,
    crash_probe,
    crash_storage,
)
from bilberryglade._membership import candidacy, fleet
from bilberryglade._routing import admission
from bilberryglade._targets import directory
from bilberryglade._values import clock
from bilberryglade_schema import fleet as messages

#: Seconds between two comparisons with the coordinator, at first and at most; they
#: double while both go on refusing other requests.
COMPARE_SECONDS: typing.Final = 1.0
LONGEST_COMPARE_SECONDS: typing.Final = 30.0
#: Lowest HTTP status of an answer that does not clear a request.
ERROR_STATUS: typing.Final = 500
MILLISECONDS: typing.Final = 1000


class CrashRecords:
    """What this instance knows of crashes, told to and by the others."""

    def __init__(
        self,
        members: fleet.Fleet,
        lease: candidacy.Candidacy,
        storage: crash_storage.CrashStorage,
        known: crash_storage.Suspicions,
    ) -> None:
        """Begins with what was `known` before the start."""
        self.members = members
        self.lease = lease
        self.storage = storage
        self.probe = crash_probe.CrashProbe(self.report_crash)
        self.evidence = crash_evidence.Evidence()
        #: Fingerprints of which the store holds something, as far as known.
        self.is_stored: set[str] = set()
        #: Seconds of the last comparison with the coordinator, and until the next.
        self.compared_at: float = 0
        self.compare_seconds = COMPARE_SECONDS
        #: Called with each crashed life of a target, by its name in messages.
        self.on_crash: abc.Callable[[str], None] = lambda _: None
        storage.on_read = self.merge
        storage.to_store = self.evidence.to_store
        self.merge(known)

    def is_quarantined(self, request: admission.Incoming) -> bool:
        """Returns whether a request is refused because it crashed targets.

        Trials are up to the coordinator alone.
        """
        if not self.evidence.blamed:
            return False
        digest = fingerprint(request)
        if digest not in self.evidence.blamed:
            return False
        may_try = self.lease.holds
        return not may_try or not self.evidence.try_again(digest, clock.now())

    def check_target(
        self,
        request: admission.Incoming,
        target: directory.Target,
    ) -> None:
        """Starts a check whether a target has crashed.

        Called when the answer to `request` was lost, as by a broken connection.
        """
        sent_at = request.progress.sent_at
        self.probe.add(
            target,
            fingerprint(request),
            clock.now() if sent_at is None else sent_at,
        )

    def report_crash(self, crash: crash_probe.Crash) -> None:
        """Records a crash that was detected here, and tells all others."""
        now = clock.now()
        message: messages.Crash = {
            'kind': 'crash',
            'sender': self.members.own.name,
            'target': str(crash.life),
            'crashed_ms': int((now - crash.crashed_at) * MILLISECONDS),
            'runs': {
                digest: int((now - sent_at) * MILLISECONDS)
                for digest, sent_at in crash.runs.items()
            },
        }
        self.handle_crash(message)
        self.members.send_all(message)
        for digest in crash.runs:
            self._store(digest)

    def note_answer(self, request: admission.Incoming, status: int) -> None:
        """Clears a request that a target has answered."""
        if status >= ERROR_STATUS or self.evidence.is_empty:
            return
        digest = fingerprint(request)
        targets = self.evidence.targets_of(digest)
        if not targets:
            return
        self._clear(digest, targets)
        self.members.send_all(self._cleared_message(digest, targets))

    def handle_crash(self, crash: messages.Crash) -> None:
        """Records a crash that this or another instance has detected."""
        self.on_crash(crash['target'])
        now = clock.now()
        self.evidence.add_crash(
            crash['target'],
            now - crash['crashed_ms'] / MILLISECONDS,
            {
                digest: now - age_ms / MILLISECONDS
                for digest, age_ms in crash['runs'].items()
            },
            now,
        )

    def handle_cleared(self, message: messages.CrashCleared) -> None:
        """Takes in that another instance saw a request answered."""
        self._clear(message['fingerprint'], frozenset(message['targets']))

    def handle_quarantine(self, message: messages.Quarantine) -> None:
        """Takes in what another instance refuses, and answers with the own."""
        told = {
            row['fingerprint']: crash_evidence.Suspicion(
                frozenset(row['targets']), is_blamed=True
            )
            for row in message['blamed']
        }
        disputed = self.evidence.learn(told, clock.now())
        for digest, targets in disputed.items():
            self.members.send(
                message['sender'], self._cleared_message(digest, targets)
            )
        if not message['is_answer']:
            self.members.send(message['sender'], self._list(is_answer=True))

    def compare(self, lead: messages.Lead) -> None:
        """Compares what the coordinator and this instance refuse."""
        now = clock.now()
        if lead.get('quarantine_mark', 0) == self.mark():
            self.compare_seconds = COMPARE_SECONDS
            return
        if now - self.compared_at < self.compare_seconds:
            return
        self.compared_at = now
        self.compare_seconds = min(
            self.compare_seconds * 2, LONGEST_COMPARE_SECONDS
        )
        self.members.send(lead['sender'], self._list(is_answer=False))

    def merge(self, known: crash_storage.Suspicions) -> None:
        """Takes in what is stored."""
        self.is_stored.update(known)
        self.evidence.learn(known, clock.now())

    def restore(self) -> None:
        """Writes again what a store that came back older may have lost.

        Only the coordinator does: all know the same, and what another instance
        alone knows is written with its next change.
        """
        if not self.lease.holds or not self.storage.client.eras.era:
            return
        for digest in sorted({*self.is_stored, *self.evidence.blamed}):
            self.storage.write(digest)

    def mark(self) -> int:
        """Returns what differs between instances that refuse other requests."""
        return self.evidence.mark()

    def _clear(self, digest: str, targets: frozenset[str]) -> None:
        self.evidence.clear(digest, targets)
        self._store(digest)

    def _store(self, digest: str) -> None:
        """Writes what is known of a request if that is to outlast all instances.

        Drops what is stored of it if not.
        """
        if self.evidence.to_store(digest) is not None:
            self.is_stored.add(digest)
            self.storage.write(digest)
        elif digest in self.is_stored:
            self.is_stored.discard(digest)
            self.storage.write(digest)

    def _cleared_message(
        self, digest: str, targets: frozenset[str]
    ) -> messages.CrashCleared:
        return {
            'kind': 'crash_cleared',
            'sender': self.members.own.name,
            'fingerprint': digest,
            'targets': sorted(targets),
        }

    def _list(self, *, is_answer: bool) -> messages.Quarantine:
        return {
            'kind': 'quarantine',
            'sender': self.members.own.name,
            'blamed': [
                {'fingerprint': digest, 'targets': sorted(blame.targets)}
                for digest, blame in self.evidence.blamed.items()
            ],
            'is_answer': is_answer,
        }


def fingerprint(request: admission.Incoming) -> str:
    """Returns a digest that a request shares with its repeats.

    It covers method, host, path, query, API key and body, but no request id.
    """
    line = f'{request.method} {request.host} {request.path}?{request.query}'
    digest = xxhash.xxh64(f'{line}\n{request.api_key}\n'.encode())
    digest.update(request.body)
    return str(digest.hexdigest())
