"""Orders to targets: leases on ranges of keys, given and taken back."""

import typing

import result

from bilberryglade._codec import codec
from bilberryglade._targets import sender
from bilberryglade._values import leases, outcomes
from bilberryglade.platform import durations, headers

#: Seconds for the answer to a grant, which targets give at once.
GRANT_SECONDS: typing.Final = 0.5
OK_STATUS: typing.Final = 200
CONFLICT_STATUS: typing.Final = 409
JSON_BODY: typing.Final = {'content-type': 'application/json'}  # noqa: WPS407


class Orders:
    """Gives orders to targets."""

    def __init__(self, http: sender.Sender) -> None:
        """Sends through `http`."""
        self.http = http

    async def grant(
        self,
        target: leases.Holder,
        lease: leases.Lease,
    ) -> result.Result[None, leases.Failure]:
        """Grants a lease, or renews it; its time runs from its arrival."""
        order: dict[str, object] = {
            'from': lease.first,
            'to': lease.last,
            'fence': lease.fence,
            'hold_time': durations.text_of(lease.seconds),
        }
        if lease.handover:
            order['handover'] = lease.handover
        answer = await self._order(target, 'grant', order, GRANT_SECONDS)
        return answer.map(lambda _: None)

    async def release(
        self,
        target: leases.Holder,
        lease: leases.Lease,
        seconds: float,
    ) -> result.Result[str, leases.Failure]:
        """Takes keys back; returns the handover when their work has ended."""
        order: dict[str, object] = {
            'from': lease.first,
            'to': lease.last,
            'fence': lease.fence,
        }
        answer = await self._order(target, 'release', order, seconds)
        return answer.map(
            lambda answered: headers.find(answered.headers, headers.HANDOVER),
        )

    async def reach(self, target: leases.Holder, path: str) -> bool:
        """Tells whether a target answers at its address, in whatever state.

        An answer without a name may come from a later user of the address,
        which refuses orders for another target.
        """
        call = sender.Call(
            address=target.address,
            method='GET',
            path=path,
            headers={headers.EXPECTED_TARGET: target.name},
            body=b'',
            seconds=GRANT_SECONDS,
        )
        outcome = await self.http.send(call, on_fresh=False)
        if not isinstance(outcome, outcomes.Answered):
            return False
        named = headers.find(outcome.headers, headers.ANSWERING_TARGET)
        return named in {'', target.name}

    async def _order(
        self,
        target: leases.Holder,
        name: str,
        order: dict[str, object],
        seconds: float,
    ) -> result.Result[outcomes.Answered, leases.Failure]:
        call = sender.Call(
            address=target.address,
            method='POST',
            path=f'/bilberryglade/{name}',
            headers={**JSON_BODY, headers.EXPECTED_TARGET: target.name},
            body=codec.encode_json(order),
            seconds=seconds,
        )
        outcome = await self.http.send(call, on_fresh=False)
        if isinstance(outcome, outcomes.NotRun):
            return result.Err(leases.Failure.unreachable)
        if isinstance(outcome, outcomes.Unknown):
            return result.Err(leases.Failure.unclear)
        if outcome.status == OK_STATUS:
            return result.Ok(outcome)
        if outcome.status == CONFLICT_STATUS:
            return result.Err(leases.Failure.fenced)
        return result.Err(leases.Failure.rejected)
