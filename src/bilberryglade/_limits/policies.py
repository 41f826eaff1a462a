"""Registered ways to admit requests, and what they need of an instance."""

import typing
from collections import abc

from bilberryglade._limits import tokens
from bilberryglade._log import follower
from bilberryglade._peers import network
from bilberryglade._values import outcomes, registry
from bilberryglade_schema import settings


class HasAuthority(typing.Protocol):
    """Tells whether the newest state may be acted on as the only one."""

    @property
    def has_authority(self) -> bool:
        """Whether nobody else can hold this instance's roles."""


class Fleet(typing.NamedTuple):
    """What an admission policy uses of its instance."""

    instance: str
    boot: str
    reader: follower.Follower
    peers: network.PeerNetwork
    timings: settings.TimingSettings
    authority: HasAuthority


class Policy(typing.Protocol):
    """Admits or refuses requests by quota."""

    async def admit(
        self,
        name: tokens.QuotaName,
        limit: tokens.Limit,
    ) -> outcomes.NotRun | None:
        """Returns None if the request may run, after a short wait at most."""


admission_policies: typing.Final = registry.Registry[
    abc.Callable[[Fleet], Policy]
]('admission policy')
