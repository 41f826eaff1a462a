"""An entry whose quota home is another instance, with a clock to be set."""

import asyncio
import types
import typing
from collections import abc
from unittest import mock

from bilberryglade._limits import policies, quotas, tokens
from bilberryglade._routing import roles
from bilberryglade._state import state
from bilberryglade._values import outcomes
from bilberryglade_schema import peer

HOME: typing.Final = 'entry-home'
ENTRY: typing.Final = 'entry-own'
LIMIT: typing.Final = tokens.Limit(rate=10, burst=5)
TIMINGS: typing.Final = types.MappingProxyType(
    {'authority_ms': 800, 'drift_permille': 10},
)


class FakeEntry:
    """Stands for the follower, the peers, and authority of an entry."""

    def __init__(self) -> None:
        """Knows two members; the other one is the home of `name`."""
        empty = state.ClusterState()
        members = empty.members
        for instance in (HOME, ENTRY):
            member = state.Member(instance, instance, '', instance, '', 1)
            members = members.set(instance, member)
        self.view = empty._replace(members=members, topology_changed_at=1)
        self.has_authority = True
        self.name = self._name_at_home()
        self.now: float = 0
        self.sent: list[abc.Mapping[str, typing.Any]] = []
        parts: typing.Any = self
        timings: typing.Any = TIMINGS
        self.quotas = quotas.Quotas(
            policies.Fleet(ENTRY, ENTRY, parts, parts, timings, self),
        )

    def send(
        self,
        address: str,
        message: abc.Mapping[str, typing.Any],
    ) -> bool:
        """Keeps a message that the entry sends."""
        self.sent.append(message)
        return True

    def grant(self, amount: int) -> None:
        """Answers the newest ask."""
        message: peer.TokenGrant = {
            'kind': 'token_grant',
            'version': 1,
            'instance': HOME,
            'organisation': self.name.organisation,
            'limit': self.name.limit,
            'sequence': self.sent[-1]['sequence'],
            'count': amount,
            'retry_us': 0,
            'confirmed': True,
        }
        self.quotas.take_grant(message)

    async def admit_over_pause(
        self,
        seconds: float,
    ) -> asyncio.Task[outcomes.NotRun | None]:
        """Pauses the entry between the spending of a token and its use."""
        clock = mock.Mock(monotonic=lambda: self.now)
        with mock.patch.object(quotas, 'time', clock):
            admission = asyncio.create_task(
                self.quotas.admit(self.name, LIMIT),
            )
            await asyncio.sleep(0)
            self.grant(1)
            self.now += seconds
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        return admission

    def _name_at_home(self) -> tokens.QuotaName:
        names = (
            tokens.QuotaName(f'member-{number}', 'allow|claims')
            for number in range(100)
        )
        return next(
            name for name in names if roles.quota_home(self.view, *name) == HOME
        )
