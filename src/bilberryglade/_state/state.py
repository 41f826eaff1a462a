"""The folded state of the control stream: immutable, the same everywhere."""

import typing

import immutables

from bilberryglade._rules import rules


class Member(typing.NamedTuple):
    """An entry instance that has joined and has not left."""

    instance: str
    #: Random name of the process; a restart has another.
    boot: str
    failure_domain: str
    peer_address: str
    admin_address: str
    #: Offset of the join: the term of every role the instance holds.
    joined_at: int


class ApiKey(typing.NamedTuple):
    """An API key of an organisation; the secret itself is kept nowhere."""

    key_id: str
    organisation: str
    #: SHA-256 of the secret, in hexadecimal.
    digest: str
    withdrawn: bool


class FailureDomain(typing.NamedTuple):
    """Whether operators have taken a failure domain out."""

    name: str
    in_service: bool
    changed_at: int


class TargetState(typing.NamedTuple):
    """A registered target."""

    target: str
    service: str
    failure_domain: str
    #: IP number and port.
    address: str
    #: Requests that the target runs at the same time.
    concurrency: int
    #: Whether the target checks the fence of its grants.
    fenced: bool
    state: str
    changed_at: int


class SlotOwner(typing.NamedTuple):
    """The target that a slot belongs to, and the one it came from."""

    target: str
    #: Offset of the assignment; the fence of the grant.
    fence: int
    #: Empty for a first assignment.
    previous_target: str
    previous_fence: int


class ServiceSlots(typing.NamedTuple):
    """Owners of the slots of a service."""

    changed_at: int = 0
    owners: immutables.Map[int, SlotOwner] = immutables.Map()
    #: Slots of hot keys by the key's digest.
    hot_slots: immutables.Map[str, int] = immutables.Map()


class RulesRevision(typing.NamedTuple):
    """The rules in force; the offset is the revision, 0 before the first."""

    revision: int = 0
    text: str = ''
    by: str = ''
    book: rules.RuleBook = rules.RuleBook()


class Verdict(typing.NamedTuple):
    """What the fold decided about a record."""

    offset: int
    accepted: bool
    #: Empty if accepted; else what stood against it.
    reason: str = ''
    #: Offset of the record that won the race, 0 if there was no race.
    winner: int = 0


class ClusterState(typing.NamedTuple):
    """Everything agreed, at one offset of the control stream."""

    offset: int = 0
    rules: RulesRevision = RulesRevision()
    #: By digest of the secret.
    api_keys: immutables.Map[str, ApiKey] = immutables.Map()
    #: Digest of the secret by API key id.
    key_digests: immutables.Map[str, str] = immutables.Map()
    members: immutables.Map[str, Member] = immutables.Map()
    failure_domains: immutables.Map[str, FailureDomain] = immutables.Map()
    targets: immutables.Map[str, TargetState] = immutables.Map()
    services: immutables.Map[str, ServiceSlots] = immutables.Map()
    #: Offset of the quarantine by fingerprint.
    quarantined: immutables.Map[str, int] = immutables.Map()
    #: Verdicts by record id, for records sent more than once.
    verdicts: immutables.Map[str, Verdict] = immutables.Map()
    #: Offset of the newest change to members, failure domains or targets.
    topology_changed_at: int = 0
