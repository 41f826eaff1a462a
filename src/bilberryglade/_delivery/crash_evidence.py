"""Which requests crash the targets that run them, as far as an instance knows.

Requests are known by fingerprints. Which of those at a crashed target is to blame,
`quarantine` decides from all crashes. An answer of a target clears a request of
the crashes before it: a popular request is not refused because targets crashed for
reasons of their own while they ran it. Runs that were at several targets as the
first of these crashed count once: all of a service may crash at the same moment.

A request is blamed for good while three crashes speak against it, but for a trial
from time to time: nobody else would learn that a request is harmless which is
never sent.
"""

import typing
from collections import abc

import loguru

from bilberryglade._delivery import quarantine

#: Crashed lives of targets from which on a request is blamed.
QUARANTINE_CRASHES: typing.Final = 3
#: A trial of a blamed request must not make it more than the rule allows: three
#: retries after the third crash.
MOST_CRASHES: typing.Final = 5
#: Seconds from the blame to the first trial; each later one waits ten times as
#: long.
TRIAL_SECONDS: typing.Final = 60.0
TRIAL_FACTOR: typing.Final = 10
#: Crashes of a request from which on it is stored.
STORED_CRASHES: typing.Final = 2
#: Crashes, blamed requests and cleared ones that are remembered.
MOST_KEPT: typing.Final = 256
MOST_BLAMED: typing.Final = 200
MOST_CLEARED: typing.Final = 200
#: Requests of which it is remembered when a target last crashed beside them.
MOST_TIMES: typing.Final = 4096
#: By how much moments that other instances tell may be wrong, in seconds: their
#: messages' time on the way.
TRANSIT_SECONDS: typing.Final = 0.005
HEXADECIMAL: typing.Final = 16
#: Marks stay below this, so that every encoding holds them.
MARK_LIMIT: typing.Final = 9_007_199_254_740_992
THRESHOLDS: typing.Final = quarantine.Thresholds(
    max_crashes=MOST_KEPT,
    min_targets_alone=QUARANTINE_CRASHES,
    min_crashes_alone=QUARANTINE_CRASHES,
    min_targets_shared=QUARANTINE_CRASHES,
    min_targets_together=QUARANTINE_CRASHES + 1,
)


class Blame(typing.NamedTuple):
    """A request that is refused since it crashes targets."""

    #: Lives that it has crashed.
    targets: frozenset[str]
    #: Seconds at which this instance blamed it, or tried it last.
    since: float


class Suspicion(typing.NamedTuple):
    """What is known of one request, to be stored or told."""

    #: Lives that crashed while they ran it.
    targets: frozenset[str]
    is_blamed: bool


class Evidence:
    """Crashes of targets, and the requests that are blamed for them."""

    def __init__(self) -> None:
        """Knows of no crash."""
        self.history = quarantine.CrashHistory()
        #: By fingerprint, oldest first.
        self.blamed: dict[str, Blame] = {}
        #: Lives of whose crashes a request was cleared, by fingerprint.
        self.cleared: dict[str, frozenset[str]] = {}
        #: Seconds of the last crash beside each request, by fingerprint.
        self.crashed_at: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request is under suspicion."""
        return not self.history.crashes and not self.blamed

    def add_crash(
        self,
        target: str,
        crashed_at: float,
        runs: abc.Mapping[str, float],
        now: float,
    ) -> None:
        """Takes in that a life of a target crashed while it ran requests.

        `runs` has the seconds at which each of them was sent there.
        """
        suspects = frozenset(
            digest
            for digest, sent_at in runs.items()
            if self._is_new_run(digest, sent_at, crashed_at)
            and target not in self.cleared.get(digest, ())
        )
        guilty = suspects & self.blamed.keys()
        for digest in guilty:
            blame = self.blamed[digest]
            self.blamed[digest] = blame._replace(
                targets=blame.targets | {target}
            )
        if suspects and not guilty:
            self._suspect(target, suspects, now)

    def clear(self, digest: str, targets: frozenset[str]) -> None:
        """Takes in that a target answered a request after these crashes."""
        self.history = quarantine.on_answer(self.history, digest)
        cleared = self.cleared.pop(digest, frozenset()) | targets
        self.cleared[digest] = cleared
        if len(self.cleared) > MOST_CLEARED:
            self.cleared.pop(next(iter(self.cleared)))
        blame = self.blamed.get(digest)
        if blame is None:
            return
        left = blame.targets - cleared
        if len(left) >= QUARANTINE_CRASHES:
            self.blamed[digest] = blame._replace(targets=left)
            return
        self.blamed.pop(digest)
        loguru.logger.info(
            'request with fingerprint {} served again: it was answered', digest
        )

    def learn(
        self, told: abc.Mapping[str, Suspicion], now: float
    ) -> dict[str, frozenset[str]]:
        """Takes in what others know of requests.

        Returns the requests that others suspect and this instance knows to be
        cleared, with the lives of whose crashes.
        """
        left = {
            digest: suspicion.targets - self.cleared.get(digest, frozenset())
            for digest, suspicion in told.items()
        }
        suspects: dict[str, set[str]] = {}
        for digest, targets in left.items():
            is_blamed = told[digest].is_blamed
            if is_blamed and len(targets) >= QUARANTINE_CRASHES:
                self._blame(digest, targets, now)
            elif digest not in self.blamed:
                for target in targets:
                    suspects.setdefault(target, set()).add(digest)
        for target, digests in sorted(suspects.items()):
            self._suspect(target, frozenset(digests), now)
        return {
            digest: self.cleared[digest]
            for digest, targets in left.items()
            if targets != told[digest].targets
        }

    def targets_of(self, digest: str) -> frozenset[str]:
        """Returns the lives that crashed while they ran a request."""
        blame = self.blamed.get(digest)
        if blame is not None:
            return blame.targets
        return frozenset(quarantine.targets_of(self.history.crashes, digest))

    def to_store(self, digest: str) -> Suspicion | None:
        """Returns what is to outlast all instances; None if nothing is."""
        targets = self.targets_of(digest)
        if len(targets) < STORED_CRASHES:
            return None
        return Suspicion(targets, digest in self.blamed)

    def try_again(self, digest: str, now: float) -> bool:
        """Tells whether a blamed request is sent now to see whether it is.

        Each time that it may be, it counts as sent.
        """
        blame = self.blamed[digest]
        trials = max(len(blame.targets) - QUARANTINE_CRASHES, 0)
        wait = TRIAL_SECONDS * TRIAL_FACTOR**trials
        if now < blame.since + wait or len(blame.targets) >= MOST_CRASHES:
            return False
        self.blamed[digest] = blame._replace(since=now)
        loguru.logger.info('request with fingerprint {} is tried', digest)
        return True

    def mark(self) -> int:
        """Returns what differs between instances that refuse other requests."""
        total = sum(int(digest, HEXADECIMAL) for digest in self.blamed)
        return total % MARK_LIMIT

    def _is_new_run(
        self, digest: str, sent_at: float, crashed_at: float
    ) -> bool:
        """Tells whether a run began after the last crash beside its request."""
        earlier = self.crashed_at.pop(digest, float('-inf'))
        self.crashed_at[digest] = max(crashed_at, earlier)
        if len(self.crashed_at) > MOST_TIMES:
            self.crashed_at.pop(next(iter(self.crashed_at)))
        return sent_at > earlier - TRANSIT_SECONDS

    def _suspect(
        self, target: str, suspects: frozenset[str], now: float
    ) -> None:
        """Adds a crash to the history, and blames who is to blame."""
        before = self.history.crashes
        crash = quarantine.TargetCrash(target, target, suspects)
        analysis = quarantine.on_crash(self.history, crash, THRESHOLDS)
        self.history = analysis.history
        for digest in analysis.blamed:
            earlier = quarantine.targets_of(before, digest)
            self._blame(digest, frozenset((*earlier, target)), now)

    def _blame(self, digest: str, targets: frozenset[str], now: float) -> None:
        known = self.blamed.get(digest)
        if known is not None:
            self.blamed[digest] = known._replace(
                targets=known.targets | targets
            )
            return
        self.history = quarantine.on_answer(self.history, digest)
        self.blamed[digest] = Blame(targets, now)
        loguru.logger.warning(
            'request with fingerprint {} refused: it crashed {} targets',
            digest,
            len(targets),
        )
        if len(self.blamed) > MOST_BLAMED:
            self.blamed.pop(next(iter(self.blamed)))
