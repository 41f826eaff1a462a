"""The instances of the fleet, as the store lists them and peers say."""

import typing
from collections import abc

from bilberryglade._peers import network
from bilberryglade._values import clock, site
from bilberryglade_schema import fleet as messages

#: Cores and Mbit/s that are ample for a duty towards a whole large fleet: the
#: coordinator's orders, tables and tokens took 5 Mbit/s in a fleet of 69 under
#: load.
AMPLE_PROCESSOR: typing.Final = 0.8
AMPLE_LINK_MBPS: typing.Final = 50.0


class Member(typing.NamedTuple):
    """One instance."""

    name: str
    #: Another one after each start.
    boot: str
    #: IP number and port for messages of peers.
    address: str
    failure_domain: str
    #: Offset of its entry in the store; -1 if only its message is known.
    offset: int = -1
    #: Processor time that it may use, in cores.
    processor: float = 1
    #: Bandwidth of its link, in Mbit/s.
    link_mbps: float = site.USUAL_LINK_MBPS
    #: Whether only the copy of its entry is known, which may be old.
    is_copied: bool = False


def strength(member: Member) -> float:
    """Returns how much a member has of what such a duty needs; 1 is ample."""
    return min(
        member.processor / AMPLE_PROCESSOR,
        member.link_mbps / AMPLE_LINK_MBPS,
    )


class Fleet:
    """All known instances; every message to peers goes through here."""

    def __init__(
        self,
        own: Member,
        peers: network.PeerNetwork,
        others: abc.Iterable[Member] = (),
    ) -> None:
        """Knows itself and the `others` that were read before the start."""
        self.own = own
        self.peers = peers
        self.members: dict[str, Member] = {
            **{other.name: other for other in others},
            own.name: own,
        }
        #: Seconds at which a message of a member arrived last.
        self.heard: dict[str, float] = {}
        #: Names of members that said that they are about to stop.
        self.leaving: set[str] = set()
        #: Grows with each change of the members or of those who leave.
        self.version = 0
        #: Called with the address of an instance that is new or restarted.
        self.listeners: list[abc.Callable[[str], None]] = []

    def others(self) -> list[Member]:
        """Returns every member but this instance."""
        return [
            member
            for member in self.members.values()
            if member.name != self.own.name
        ]

    def by_domain(self) -> dict[str, list[str]]:
        """Returns the names of all members by failure domain."""
        domains: dict[str, list[str]] = {}
        for member in self.members.values():
            domains.setdefault(member.failure_domain, []).append(member.name)
        return domains

    def near(self) -> list[str]:
        """Returns the names of others in the own failure domain, in order."""
        return [
            member.name
            for member in self.others()
            if member.failure_domain == self.own.failure_domain
            and member.name not in self.leaving
        ]

    def take(self, member: Member) -> None:
        """Takes in a member that the store or the member itself named."""
        if member.name == self.own.name:
            return
        known = self.members.get(member.name)
        if known is not None and member.offset < known.offset:
            return
        self.members[member.name] = member
        if known is not None and known.boot == member.boot:
            return
        self.leaving.discard(member.name)
        self.version += 1
        if known is not None and known.address != member.address:
            self._forget_sockets()
        for listener in self.listeners:
            listener(member.address)

    def drop(self, name: str) -> None:
        """Takes in that the store does not list an instance any more."""
        if name in self.members and name != self.own.name:
            self.members.pop(name)
            self.heard.pop(name, None)
            self.leaving.discard(name)
            self.version += 1
            self._forget_sockets()

    def unlist(self, name: str) -> None:
        """Takes in that the store has lost the entry of an instance that lives."""
        member = self.members.get(name)
        if member is not None and name != self.own.name:
            self.members[name] = member._replace(offset=-1, is_copied=False)

    def leave(self, name: str) -> None:
        """Takes in that a member is about to stop."""
        if name in self.members and name not in self.leaving:
            self.leaving.add(name)
            self.version += 1

    def offset_of(self, name: str) -> int:
        """Returns the offset of a member's entry in the store, or -1."""
        known = self.members.get(name)
        return -1 if known is None else known.offset

    def domain_of(self, name: str) -> str:
        """Returns the failure domain of a member, '' if it is not known."""
        known = self.members.get(name)
        return '' if known is None else known.failure_domain

    def hear(self, sender: str) -> None:
        """Notes a message of a peer."""
        self.heard[sender] = clock.now()

    def silence_of(self, name: str) -> float:
        """Returns the seconds since a message of `name` arrived."""
        return clock.now() - self.heard.get(name, float('-inf'))

    def send(self, name: str, message: abc.Mapping[str, object]) -> bool:
        """Sends to one member; returns False if it cannot be queued."""
        member = self.members.get(name)
        return member is not None and self.peers.send(member.address, message)

    def send_all(self, message: abc.Mapping[str, object]) -> None:
        """Sends to every other member."""
        self.peers.send_all(
            (member.address for member in self.others()), message
        )

    def hello(self, *, is_leaving: bool) -> messages.Hello:
        """Returns the message that this instance is here, or about to stop."""
        return {
            'kind': 'hello',
            'sender': self.own.name,
            'boot': self.own.boot,
            'address': self.own.address,
            'failure_domain': self.own.failure_domain,
            'is_leaving': is_leaving,
            'processor': self.own.processor,
            'link_mbps': self.own.link_mbps,
        }

    def _forget_sockets(self) -> None:
        self.peers.forget(
            {member.address for member in self.members.values()},
        )
