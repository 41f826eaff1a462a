"""Which instances hold the even part of a quota, and how much of it each.

Where an even part is too small for each instance to save up a token of its own,
some instances of each failure domain hold the part of all of them, as many as
there are whole tokens. The others ask one of these. So the tokens that lie unused
in the whole fleet stay within the burst, and a failure domain that is cut off
has its part.
"""

import typing
from collections import abc

from bilberryglade._limits import parts
from bilberryglade._membership import fleet
from bilberryglade._values import spreading


class Division(typing.NamedTuple):
    """The division of one quota."""

    #: Holders of an even part: each one's share of the quota, by name. All shares
    #: together are 1.
    shares: abc.Mapping[str, float]
    #: Names of the holders by failure domain.
    near: abc.Mapping[str, tuple[str, ...]]


class Divisions:
    """The divisions of all quotas among the instances that are known."""

    def __init__(self, members: fleet.Fleet) -> None:
        """Divides among `members`."""
        self.members = members
        self.divisions: dict[tuple[str, parts.Quota], Division] = {}
        #: Version of the members of which `divisions` are.
        self.version = -1

    def division(self, organisation: str, quota: parts.Quota) -> Division:
        """Returns the division of an organisation's quota."""
        if self.version != self.members.version:
            self.divisions.clear()
            self.version = self.members.version
        known = self.divisions.get((organisation, quota))
        if known is None:
            known = divide(organisation, quota, self.members.by_domain())
            self.divisions[(organisation, quota)] = known
        return known


def divide(
    organisation: str,
    quota: parts.Quota,
    domains: abc.Mapping[str, abc.Sequence[str]],
) -> Division:
    """Divides a quota among instances, whose names `domains` has by domain."""
    size = sum(len(names) for names in domains.values())
    shares: dict[str, float] = {}
    near: dict[str, tuple[str, ...]] = {}
    for domain, names in domains.items():
        share = len(names) / size
        tokens = int(quota.burst * parts.EVEN_PART * share)
        count = min(max(tokens, 1), len(names))
        holders = _ranked(organisation, names)[:count]
        near[domain] = tuple(holders)
        shares.update(dict.fromkeys(holders, share / count))
    return Division(shares, near)


def _ranked(organisation: str, names: abc.Sequence[str]) -> list[str]:
    duty = f'quota/{organisation}'
    return sorted(
        names, key=lambda name: spreading.score(name, duty), reverse=True
    )
