"""Relays records, whole states and the age of knowledge between instances."""

import math
import typing

from bilberryglade._log import chunks, follower, intake
from bilberryglade._membership import heartbeats
from bilberryglade._peers import handlers, network
from bilberryglade._values import steps
from bilberryglade_schema import peer

#: Seconds that the own read gets before a peer is asked for the same news.
GRACE_SECONDS: typing.Final = 0.1
#: Seconds after which an unanswered question may be put again.
ASK_SECONDS: typing.Final = 0.3
#: Questions remembered for their answers.
MAX_ASKED: typing.Final = 64
MAX_GIVEN_RECORDS: typing.Final = 256
#: Seconds between two whole states given to one peer.
STATE_SECONDS: typing.Final = 1.0
MILLISECONDS: typing.Final = 1000
MAX_AGE_MS: typing.Final = 3_600_000
#: Ages in messages are whole milliseconds, rounded down.
ROUNDING_MS: typing.Final = 1

RECORDS_ASKED: typing.Final = steps.declare(
    'relay.records_asked',
    steps.StepKind.message,
)
RECORDS_GIVEN: typing.Final = steps.declare(
    'relay.records_given',
    steps.StepKind.message,
)
STATE_ASKED: typing.Final = steps.declare(
    'relay.state_asked',
    steps.StepKind.message,
)
STATE_GIVEN: typing.Final = steps.declare(
    'relay.state_given',
    steps.StepKind.message,
)


class Lag(typing.NamedTuple):
    """How the own state stands against what peers spoke of."""

    #: Monotonic seconds since which a peer is ahead; None if none is.
    behind_since: float | None = None
    #: Monotonic seconds of the newest question.
    asked_at: float = intake.NEVER


class AskDecision(typing.NamedTuple):
    """Whether to ask a peer, and the lag to remember."""

    lag: Lag
    is_due: bool


def should_ask(
    lag: Lag,
    is_behind: bool,
    is_log_failing: bool,
    now: float,
) -> AskDecision:
    """Decides whether to ask the peer that was just heard for its records."""
    if not is_behind:
        return AskDecision(lag._replace(behind_since=None), is_due=False)
    since = now if lag.behind_since is None else lag.behind_since
    noticed = lag._replace(behind_since=since)
    waited = is_log_failing or now - since >= GRACE_SECONDS
    if not waited or now - lag.asked_at < ASK_SECONDS:
        return AskDecision(noticed, is_due=False)
    return AskDecision(noticed._replace(asked_at=now), is_due=True)


def records_from(
    known: intake.Intake,
    start: int,
) -> tuple[intake.Numbered, ...] | None:
    """Returns kept records from `start` on, or None if they are not kept."""
    if start > known.view.offset:
        return ()
    if not known.recent or known.recent[0].offset > start:
        return None
    later = [row for row in known.recent if row.offset >= start]
    return tuple(later[:MAX_GIVEN_RECORDS])


def known_at(asked_at: float, age_ms: int, drift_permille: int) -> float:
    """Returns as of when a peer's word holds, by the own monotonic clock.

    The peer measured its age after it was asked, on a clock that may run
    slower by `drift_permille`.
    """
    longest = age_ms / MILLISECONDS * (1 + drift_permille / MILLISECONDS)
    return asked_at - longest


class Relay:
    """Asks peers for what they have folded, and gives it to them."""

    def __init__(
        self,
        instance: str,
        address: str,
        reader: follower.Follower,
        peers: network.PeerNetwork,
        drift_permille: int,
    ) -> None:
        """Acts as `instance`, which hears peers at `address`."""
        self.instance = instance
        self.address = address
        self.reader = reader
        self.peers = peers
        self.drift_permille = drift_permille
        self.lag = Lag()
        self.sequence = 0
        #: Monotonic seconds at which each open question was put.
        self.asked: dict[int, float] = {}
        #: Parts of states that are still coming, by question.
        self.incoming: dict[int, dict[int, chunks.Part]] = {}
        #: Parts of the state that was given last.
        self.parts: list[chunks.Part] = []
        #: Monotonic seconds of the last state given, by peer.
        self.given_at: dict[str, float] = {}

    def hear(self, sign: heartbeats.Sign) -> None:
        """Takes a peer's offset and age; asks for records if it is ahead."""
        as_of = known_at(
            sign.asked_at,
            math.ceil(sign.age_seconds * MILLISECONDS) + ROUNDING_MS,
            self.drift_permille,
        )
        known = intake.hear(self.reader.known, sign.offset, as_of)
        self.reader.adopt(known)
        decision = should_ask(
            self.lag,
            is_behind=sign.offset > known.view.offset,
            is_log_failing=self.reader.failures_in_a_row > 0,
            now=self.reader.clock(),
        )
        self.lag = decision.lag
        member = known.view.members.get(sign.instance)
        if decision.is_due and member is not None:
            self.ask_records(member.peer_address)

    def ask_records(self, address: str) -> None:
        """Asks the peer at `address` for records that are not folded here."""
        message: peer.RecordsAsked = {
            'kind': 'records_asked',
            'version': handlers.VERSION,
            'instance': self.instance,
            'address': self.address,
            'sequence': self._next_question(),
            'start': self.reader.view.offset + 1,
        }
        self.peers.send(address, message)

    def ask_state(self, address: str) -> None:
        """Asks the peer at `address` for its whole state."""
        message: peer.StateAsked = {
            'kind': 'state_asked',
            'version': handlers.VERSION,
            'instance': self.instance,
            'address': self.address,
            'sequence': self._next_question(),
        }
        self.peers.send(address, message)

    def give_records(self, message: peer.RecordsAsked) -> None:
        """Answers with records or, where they are gone, with the state."""
        kept = records_from(self.reader.known, message['start'])
        if kept is None:
            self._give_parts(
                message['instance'],
                message['address'],
                message['sequence'],
            )
            return
        given: peer.RecordsGiven = {
            'kind': 'records_given',
            'version': handlers.VERSION,
            'instance': self.instance,
            'sequence': message['sequence'],
            'offset': self.reader.view.offset,
            'age_ms': self._age_ms(),
            'records': [
                {'offset': row.offset, 'record': row.record} for row in kept
            ],
        }
        self.peers.send(message['address'], given)

    def give_state(self, message: peer.StateAsked) -> None:
        """Answers with the whole state in parts, if there is one."""
        self._give_parts(
            message['instance'],
            message['address'],
            message['sequence'],
        )

    def take_records(self, message: peer.RecordsGiven) -> None:
        """Folds relayed records; an answer to no open question is skipped."""
        asked_at = self.asked.pop(message['sequence'], None)
        if asked_at is None:
            return
        records = [
            intake.Numbered(row['offset'], row['record'])
            for row in message['records']
        ]
        as_of = known_at(asked_at, message['age_ms'], self.drift_permille)
        self.reader.adopt(
            intake.take_records(
                self.reader.known,
                records,
                message['offset'],
                as_of,
            ),
        )

    def take_state(self, message: peer.StateGiven) -> None:
        """Collects a part of a state; takes the state when it is whole."""
        sequence = message['sequence']
        asked_at = self.asked.get(sequence)
        if asked_at is None:
            return
        parts = self.incoming.setdefault(sequence, {})
        parts[message['part']] = _part_of(message)
        given = chunks.join(parts)
        if given is None:
            return
        self._close(sequence)
        self.reader.adopt(
            intake.take_state(
                self.reader.known,
                given,
                known_at(asked_at, message['age_ms'], self.drift_permille),
                self.reader.clock(),
            ),
        )

    def _give_parts(self, instance: str, address: str, sequence: int) -> None:
        view = self.reader.view
        now = self.reader.clock()
        since = now - self.given_at.get(instance, intake.NEVER)
        if not view.offset or since < STATE_SECONDS:
            return
        self.given_at[instance] = now
        if not self.parts or self.parts[0].offset != view.offset:
            self.parts = chunks.split(view)
        for part in self.parts:
            self.peers.send(address, self._state_message(part, sequence))

    def _state_message(
        self,
        part: chunks.Part,
        sequence: int,
    ) -> peer.StateGiven:
        return {
            'kind': 'state_given',
            'version': handlers.VERSION,
            'instance': self.instance,
            'sequence': sequence,
            'offset': part.offset,
            'age_ms': self._age_ms(),
            'format': part.format,
            'digest': part.digest,
            'part': part.part,
            'parts': part.parts,
            'body': part.body,
        }

    def _next_question(self) -> int:
        self.sequence += 1
        self.asked[self.sequence] = self.reader.clock()
        self._close(self.sequence - MAX_ASKED)
        return self.sequence

    def _close(self, sequence: int) -> None:
        self.asked.pop(sequence, None)
        self.incoming.pop(sequence, None)

    def _age_ms(self) -> int:
        age_ms = self.reader.age_seconds * MILLISECONDS
        return int(min(age_ms, MAX_AGE_MS)) + ROUNDING_MS


def _part_of(message: peer.StateGiven) -> chunks.Part:
    return chunks.Part(
        format=message['format'],
        offset=message['offset'],
        digest=message['digest'],
        part=message['part'],
        parts=message['parts'],
        body=message['body'],
    )
