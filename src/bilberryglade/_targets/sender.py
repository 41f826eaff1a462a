"""One HTTP exchange with a target: sent once, answered whole, or classified."""

import asyncio
import typing
from http import cookies

import aiosonic
import loguru
from aiosonic import exceptions, timeout

from bilberryglade._targets import answers, connections, marks
from bilberryglade._values import clock, outcomes, request_progress

#: Seconds for a new connection; targets of the fleet are milliseconds away.
CONNECT_SECONDS: typing.Final = 0.3
#: What the library raises when an exchange comes to no whole answer.
BROKEN_EXCHANGE: typing.Final = (
    exceptions.AiosonicError,
    OSError,
    EOFError,
    ValueError,
    TimeoutError,
    asyncio.LimitOverrunError,
    cookies.CookieError,
)


class Call(typing.NamedTuple):
    """An HTTP request as it goes out."""

    #: IP number and port.
    address: str
    method: str
    #: Path and query string.
    path: str
    headers: dict[str, str]
    body: bytes
    #: Seconds until a whole answer must have arrived.
    seconds: float
    #: What tells its answer from those to other calls.
    marked: marks.Marks = marks.Marks()
    #: What the target knows it by; a connection carries each name once.
    name: str = ''
    #: Of the caller's request that it carries; None if it carries none.
    progress: request_progress.Progress | None = None


class Sender:
    """Sends calls over kept or fresh connections, each call once."""

    def __init__(
        self,
        most_connections: int,
        most_answer_bytes: int,
        idle_ms: int = connections.IDLE_MS,
    ) -> None:
        """Opens connections as they are needed, `most_connections` a class.

        A kept connection that was idle for `idle_ms` is closed, not used.
        """
        self.most_answer_bytes = most_answer_bytes
        self.kept = connections.http_client(
            connections.TargetConnection,
            most_connections,
            idle_ms,
        )
        self.fresh = connections.http_client(
            connections.FreshConnection,
            most_connections,
        )

    async def send(
        self,
        call: Call,
        *,
        on_fresh: bool,
    ) -> outcomes.Outcome:
        """Sends `call` once; `NotRun` means that no byte of it went out.

        The library may go on when its task is cancelled just as it has
        something; the task ends all the same.
        """
        cancellations = _cancellations()
        outcome = await self._exchange(call, on_fresh=on_fresh)
        if _cancellations() > cancellations:
            raise asyncio.CancelledError
        return outcome

    async def close(self) -> None:
        """Closes every connection."""
        await self.kept.aclose()
        await self.fresh.aclose()

    async def _exchange(
        self,
        call: Call,
        *,
        on_fresh: bool,
    ) -> outcomes.Outcome:
        http = self.fresh if on_fresh else self.kept
        exchange = connections.Exchange(
            call.marked,
            clock.now() + call.seconds,
            call.progress,
            call.name,
        )
        connections.current.set(exchange)
        try:
            async with asyncio.timeout(call.seconds):
                # The loop reads what has come, so that a connection which its
                # target has just closed is not chosen.
                await asyncio.sleep(0)
                response = await http.request(
                    _url(call.address, call.path),
                    # The library drops the body of a request named `GET`.
                    call.method.lower(),
                    headers=call.headers,
                    data=call.body,
                    timeouts=_timeouts(call.seconds),
                    stream=True,
                )
                return await self._outcome(call.method, response)
        except BROKEN_EXCHANGE as failure:
            _note_foreign(call, exchange, failure)
            exchange.end()
            if exchange.is_sent:
                return outcomes.Unknown(_lost_reason(failure))
            return outcomes.NotRun(_unsent_reason(failure))
        finally:
            connections.current.set(None)

    async def _outcome(
        self,
        method: str,
        response: aiosonic.HttpResponse,
    ) -> outcomes.Outcome:
        """Returns the answer if it is whole and within bounds."""
        headers = answers.raw_headers(response)
        status = response.status_code
        if not answers.is_framed(method, status, headers):
            await response.aclose()
            return outcomes.Unknown(outcomes.Reason.answer_lost)
        body = await answers.read_body(response, self.most_answer_bytes)
        if body is None:
            return outcomes.Unknown(outcomes.Reason.too_large)
        return outcomes.Answered(status, answers.headers_of(headers), body)


def _cancellations() -> int:
    """Returns how often the running task was asked to end."""
    task = asyncio.current_task()
    return 0 if task is None else task.cancelling()


def _lost_reason(failure: BaseException) -> outcomes.Reason:
    late = (TimeoutError, exceptions.BaseTimeout)
    if isinstance(failure, late):
        return outcomes.Reason.deadline
    return outcomes.Reason.answer_lost


def _unsent_reason(failure: BaseException) -> outcomes.Reason:
    if isinstance(failure, connections.UnwantedError):
        return outcomes.Reason.caller_gone
    return outcomes.Reason.target_unreachable


def _note_foreign(
    call: Call,
    exchange: connections.Exchange,
    failure: BaseException,
) -> None:
    if isinstance(failure, connections.ForeignAnswerError):
        loguru.logger.bind(
            connection=exchange.carrier.connection,
            uses=exchange.carrier.earlier_uses,
            call=exchange.name,
            beginning=str(failure),
        ).warning('answer of {} belongs to another call', call.address)


def _timeouts(seconds: float) -> timeout.Timeouts:
    """Returns the timeout of connecting alone.

    The library makes a task for each of its timeouts; one around the whole
    exchange needs none.
    """
    return timeout.Timeouts(
        sock_connect=min(CONNECT_SECONDS, seconds),
        sock_read=None,
        request_timeout=None,
    )


def _url(address: str, path: str) -> str:
    """Returns the URL; the library would drop parameters after `;`."""
    plain, mark, query = path.partition('?')
    return f'http://{address}{plain.replace(";", "%3B")}{mark}{query}'
