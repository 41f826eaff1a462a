"""Takes IP numbers as they are, so that no resolver thread is started."""

import ipaddress
import socket
import typing

from aiosonic import resolver


class ResolvedHost(typing.TypedDict):
    """An address as the HTTP library expects it."""

    hostname: str
    host: str
    port: int
    family: int
    proto: int
    flags: int


class IpResolver(resolver.AbstractResolver):  # type: ignore[misc]
    """Resolver for a system whose processes are addressed by IP number."""

    async def resolve(
        self,
        host: str,
        port: int = 0,
        family: int = socket.AF_INET,
    ) -> list[ResolvedHost]:
        """Returns `host` itself; a name raises `OSError`."""
        try:
            ipaddress.ip_address(host)
        except ValueError as error:
            raise OSError(f'{host!r} is not an IP number') from error
        return [
            {
                'hostname': host,
                'host': host,
                'port': port,
                'family': family,
                'proto': 0,
                'flags': 0,
            },
        ]

    async def close(self) -> None:
        """Holds nothing."""
