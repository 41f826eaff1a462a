"""Tells apart: knowledge is fresh, the log is down for all, or isolated."""

import enum
import typing
from collections import abc

from bilberryglade._log import follower
from bilberryglade._membership import heartbeats
from bilberryglade._state import state
from bilberryglade_schema import settings

MILLISECONDS: typing.Final = 1000


class Case(enum.StrEnum):
    """What an instance may rely on; docs/design/state.md has the rules."""

    #: An own or relayed read of the log is younger than the bound.
    fresh = 'fresh'
    #: No failure domain can read the log, so that nobody acts on news.
    log_down = 'log_down'
    #: Somebody else may have read the log and moved on.
    isolated = 'isolated'


class Word(typing.NamedTuple):
    """The newest word of a peer on what it knows."""

    instance: str
    failure_domain: str
    #: Monotonic seconds at which it was asked.
    asked_at: float
    #: Age of its newest complete read when it answered.
    age_seconds: float
    offset: int


class Evidence(typing.NamedTuple):
    """All that the decision looks at."""

    failure_domain: str
    #: Members by failure domain, without the deciding instance.
    others: abc.Mapping[str, int]
    offset: int
    #: Monotonic seconds as of which the own knowledge was complete.
    fresh_at: float
    words: tuple[Word, ...]


class Bounds(typing.NamedTuple):
    """How old knowledge and words may be, in seconds."""

    fresh_seconds: float
    word_seconds: float
    #: Time that a fresh read takes to reach all instances of its failure
    #: domain by relay.
    relay_seconds: float = 0


def case(evidence: Evidence, bounds: Bounds, now: float) -> Case:
    """Returns the case that an instance is in at `now`.

    `log_down` takes a recent word of every other failure domain that has
    members, and no recent word may know more or have a fresh read. A fleet
    in a single failure domain needs the word of half of the other members.
    """
    if now - evidence.fresh_at < bounds.fresh_seconds:
        return Case.fresh
    recent = _recent(evidence, bounds, now)
    if any(_knows_more(word, evidence, bounds) for word in recent):
        return Case.isolated
    if _missing_domains(evidence, recent):
        return Case.isolated
    own_others = evidence.others.get(evidence.failure_domain, 0)
    is_alone = len(evidence.others.keys() - {evidence.failure_domain}) == 0
    if is_alone and 2 * len(recent) < own_others:
        return Case.isolated
    return Case.log_down


def nobody_acted_at(evidence: Evidence, bounds: Bounds, now: float) -> float:
    """Returns the monotonic seconds as of which nobody had acted on news.

    It is `fresh_at` or, in the case `log_down`, the oldest of the newest
    words of the other failure domains, less the time of the relay: each
    spoke after it was asked, and nobody near it had read anything by then.
    """
    if case(evidence, bounds, now) is not Case.log_down:
        return evidence.fresh_at
    newest: dict[str, float] = {}
    for word in _recent(evidence, bounds, now):
        spoken = newest.get(word.failure_domain, word.asked_at)
        newest[word.failure_domain] = max(spoken, word.asked_at)
    newest.pop(evidence.failure_domain, None)
    oldest = min(newest.values(), default=now)
    return max(evidence.fresh_at, oldest - bounds.relay_seconds)


def evidence_of(
    view: state.ClusterState,
    instance: str,
    fresh_at: float,
    signs: abc.Iterable[heartbeats.Sign],
) -> Evidence:
    """Returns the evidence of `instance` from the heartbeats that it heard."""
    own = view.members.get(instance)
    others: dict[str, int] = {}
    for member in view.members.values():
        if member.instance != instance:
            domain = member.failure_domain
            others[domain] = others.get(domain, 0) + 1
    return Evidence(
        failure_domain=own.failure_domain if own else '',
        others=others,
        offset=view.offset,
        fresh_at=fresh_at,
        words=tuple(
            _word(view.members[sign.instance], sign)
            for sign in signs
            if sign.instance in view.members
        ),
    )


def _word(member: state.Member, sign: heartbeats.Sign) -> Word:
    return Word(
        instance=sign.instance,
        failure_domain=member.failure_domain,
        asked_at=sign.asked_at,
        age_seconds=sign.age_seconds,
        offset=sign.offset,
    )


def _recent(evidence: Evidence, bounds: Bounds, now: float) -> list[Word]:
    return [
        word
        for word in evidence.words
        if now - word.asked_at <= bounds.word_seconds
    ]


def _knows_more(word: Word, evidence: Evidence, bounds: Bounds) -> bool:
    if word.offset > evidence.offset:
        return True
    return word.age_seconds < bounds.fresh_seconds


def _missing_domains(evidence: Evidence, recent: list[Word]) -> set[str]:
    heard = {word.failure_domain for word in recent}
    heard.add(evidence.failure_domain)
    return evidence.others.keys() - heard


class Knowledge:
    """The case that one instance is in, by its own clock and heartbeats."""

    def __init__(
        self,
        instance: str,
        reader: follower.Follower,
        signs: heartbeats.Heartbeats,
        timings: settings.TimingSettings,
    ) -> None:
        """Judges what `reader` has read and what `signs` has heard."""
        self.instance = instance
        self.reader = reader
        self.signs = signs
        self.bounds = Bounds(
            fresh_seconds=timings['authority_ms'] / MILLISECONDS,
            word_seconds=timings['suspect_ms'] / MILLISECONDS,
            relay_seconds=timings['heartbeat_ms'] / MILLISECONDS,
        )

    def case(self) -> Case:
        """Returns the case now."""
        return case(self.evidence(), self.bounds, self.reader.clock())

    def nobody_acted_seconds(self) -> float:
        """Returns how long ago it is certain that nobody had acted on news."""
        now = self.reader.clock()
        return now - nobody_acted_at(self.evidence(), self.bounds, now)

    def evidence(self) -> Evidence:
        """Returns the evidence of the moment."""
        known = self.reader.known
        return evidence_of(
            known.view,
            self.instance,
            known.fresh_at,
            self.signs.signs.values(),
        )
