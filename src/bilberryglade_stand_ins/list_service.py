"""Stand-in of the platform's lagging list of live and leaving members.

`PUT /members/{name}` and `DELETE /members/{name}` change the list, `GET
/members` shows it as it stood some time ago, `PUT /faults` sets that lag and
outages.
"""

import time
import typing

import msgspec
from starlette import applications, requests, responses, routing

from bilberryglade_schema import platform


class ListFaults(typing.NamedTuple):
    """Faults in force at the list service."""

    lag_seconds: float = 0
    outage: bool = False


class Snapshot(typing.NamedTuple):
    """The list as it stood from a moment on."""

    since: float
    members: dict[str, platform.ListedMember]


class ListService:
    """The list's history and the HTTP handlers over it."""

    def __init__(self) -> None:
        """Starts empty and without lag."""
        self.history = [Snapshot(time.monotonic(), {})]
        self.faults = ListFaults()

    async def put(self, request: requests.Request) -> responses.Response:
        """Adds or replaces a member."""
        raw = await request.body()
        row = msgspec.json.decode(raw, type=platform.ListedMember)
        self._change({**self._newest(), row['name']: row})
        return responses.Response(status_code=204)

    async def delete(self, request: requests.Request) -> responses.Response:
        """Removes a member."""
        name = request.path_params['name']
        rest = {
            other: row for other, row in self._newest().items() if other != name
        }
        self._change(rest)
        return responses.Response(status_code=204)

    async def show(self, request: requests.Request) -> responses.Response:
        """Returns the list as it stood `lag_seconds` ago."""
        if self.faults.outage:
            return responses.Response('unavailable', status_code=503)
        moment = time.monotonic() - self.faults.lag_seconds
        shown: dict[str, platform.ListedMember] = {}
        for snapshot in self.history:
            if snapshot.since <= moment:
                shown = snapshot.members
        answer: platform.MemberList = {'members': list(shown.values())}
        return responses.Response(
            msgspec.json.encode(answer),
            media_type='application/json',
        )

    async def set_faults(self, request: requests.Request) -> responses.Response:
        """Replaces the faults in force."""
        raw = await request.body()
        changes = msgspec.json.decode(raw, type=dict[str, typing.Any])
        self.faults = ListFaults(**changes)
        return responses.Response(status_code=204)

    def _newest(self) -> dict[str, platform.ListedMember]:
        return self.history[-1].members

    def _change(self, members: dict[str, platform.ListedMember]) -> None:
        self.history.append(Snapshot(time.monotonic(), members))


def application(service: ListService) -> applications.Starlette:
    """Returns the HTTP application of `service`."""
    return applications.Starlette(
        routes=[
            routing.Route('/members', service.show, methods=['GET']),
            routing.Route('/members/{name}', service.put, methods=['PUT']),
            routing.Route(
                '/members/{name}', service.delete, methods=['DELETE']
            ),
            routing.Route('/faults', service.set_faults, methods=['PUT']),
        ],
    )
