"""Orders to targets: leases on ranges of keys, given and taken back."""

import http
import typing

import loguru
import result

from bilberryglade._codec import codec
from bilberryglade._targets import marks, sender
from bilberryglade._values import leases, outcomes
from bilberryglade.platform import durations, headers

#: Seconds for the answer to a grant, which targets give at once.
GRANT_SECONDS: typing.Final = 0.5
OK_STATUS: typing.Final = 200
CONFLICT_STATUS: typing.Final = 409
#: An order is answered with success or a refusal.
STATUSES: typing.Final = frozenset(
    status.value
    for status in http.HTTPStatus
    if status == OK_STATUS or status >= http.HTTPStatus.BAD_REQUEST
)
JSON_BODY: typing.Final = {'content-type': 'application/json'}  # noqa: WPS407
#: Targets echo nothing of an order. A request's id is on answers to requests,
#: a handover on answers to releases.
MARKS: typing.Final[dict[str, marks.Marks]] = {  # noqa: WPS407
    'grant': marks.Marks(
        foreign=frozenset((headers.REQUEST_ID, headers.HANDOVER)),
        statuses=STATUSES,
    ),
    'release': marks.Marks(
        foreign=frozenset((headers.REQUEST_ID,)),
        statuses=STATUSES,
    ),
    'reach': marks.Marks(
        foreign=frozenset((headers.REQUEST_ID, headers.HANDOVER)),
    ),
}

Ordered: typing.TypeAlias = result.Result[outcomes.Answered, leases.Failure]


class Orders:
    """Gives orders to targets, and confirms what is surely their answer."""

    def __init__(self, connections: sender.Sender) -> None:
        """Sends over `connections`, which carry orders alone."""
        self.connections = connections

    async def grant(
        self,
        target: leases.Holder,
        lease: leases.Lease,
    ) -> result.Result[None, leases.Failure]:
        """Grants a lease, or renews it; its time runs from its arrival.

        Nothing in an answer tells which order it answers. A new lease begins
        only by an answer on a connection that nothing else was asked on; that
        of a renewal may be a late one to an earlier order, at the worst.
        """
        order: dict[str, object] = {
            'from': lease.first,
            'to': lease.last,
            'fence': lease.fence,
            'hold_time': durations.text_of(lease.seconds),
        }
        if lease.handover:
            order['handover'] = lease.handover
        answer = await self._order(
            target,
            'grant',
            order,
            GRANT_SECONDS,
            on_fresh=not lease.is_renewal,
        )
        return answer.map(lambda _: None)

    async def release(
        self,
        target: leases.Holder,
        lease: leases.Lease,
        seconds: float,
    ) -> result.Result[str, leases.Failure]:
        """Takes keys back; returns the handover when their work has ended.

        It frees the keys, so it goes over a connection on which nothing else
        can be answered, and the handover must be there.
        """
        order: dict[str, object] = {
            'from': lease.first,
            'to': lease.last,
            'fence': lease.fence,
        }
        answer = await self._order(
            target, 'release', order, seconds, on_fresh=True
        )
        return answer.and_then(lambda given: _handover(target, given))

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
            marked=MARKS['reach'],
        )
        outcome = await self.connections.send(call, on_fresh=True)
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
        *,
        on_fresh: bool,
    ) -> Ordered:
        call = sender.Call(
            address=target.address,
            method='POST',
            path=f'/bilberryglade/{name}',
            headers={**JSON_BODY, headers.EXPECTED_TARGET: target.name},
            body=codec.encode_json(order),
            seconds=seconds,
            marked=MARKS[name],
        )
        outcome = await self.connections.send(call, on_fresh=on_fresh)
        if isinstance(outcome, outcomes.NotRun):
            return result.Err(leases.Failure.unreachable)
        if isinstance(outcome, outcomes.Unknown):
            return result.Err(leases.Failure.unclear)
        if outcome.status == OK_STATUS:
            return result.Ok(outcome)
        if outcome.status == CONFLICT_STATUS:
            return result.Err(leases.Failure.fenced)
        return result.Err(leases.Failure.rejected)


def _handover(
    target: leases.Holder,
    answer: outcomes.Answered,
) -> result.Result[str, leases.Failure]:
    """Returns the word by which an answer is known to be a release's."""
    words = headers.all_of(answer.headers, headers.HANDOVER)
    if len(words) != 1:
        loguru.logger.warning(
            'release at {} answered with {} handovers', target.name, len(words)
        )
        return result.Err(leases.Failure.unclear)
    return result.Ok(words[0])
