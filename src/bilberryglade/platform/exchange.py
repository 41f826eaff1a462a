"""One request to a target as the platform's protocol has it."""

import enum
import functools
import re
import typing
from collections import abc

import result

from bilberryglade._codec import codec
from bilberryglade._delivery import request_sender
from bilberryglade._routing import admission
from bilberryglade._targets import (
    connections,
    directory,
    marks,
    sender,
    standing,
)
from bilberryglade._values import outcomes
from bilberryglade.platform import headers
from bilberryglade_schema import provider

#: Seconds by which a target is to stop before its answer is given up.
MARGIN_SECONDS: typing.Final = 0.03
MISDIRECTED_STATUS: typing.Final = 421
FULL_STATUS: typing.Final = 503
#: Statuses by which callers are told that a request has not run.
PROMISING_STATUSES: typing.Final = frozenset((408, 421, 429, 503))
PERCENT: typing.Final = 100
#: Texts on a target's load whose meaning is kept; they have few small numbers,
#: and checking one took longer than all else that is done with it.
KEPT_REPORTS: typing.Final = 2048
#: The one text that says that a target leaves.
LEAVING_TEXT: typing.Final = '1'
#: Seconds as a target may write them; dates and signs are none.
SECONDS: typing.Final = re.compile(r'[0-9]{1,12}(\.[0-9]{1,12})?')
#: A target that asks for more gets its requests again after this.
LONGEST_HOLD_SECONDS: typing.Final = 3600.0


class TargetExchange:
    """Sends requests to targets and reads their answers."""

    def __init__(self, http: sender.Sender) -> None:
        """Sends through `http`."""
        self.http = http
        #: Headers of targets of which nothing could be made, by name.
        self.odd_headers: dict[str, int] = {}

    async def __call__(
        self,
        request: admission.Incoming,
        admitted: admission.Admitted,
        target: directory.Target,
        seconds: float,
    ) -> request_sender.ExchangeResult:
        """Sends a request once; see `request_sender.Exchange`."""
        call = sender.Call(
            address=target.address,
            method=request.method,
            path=_path(request),
            headers=_headers(request, admitted, target, seconds),
            body=request.body,
            seconds=seconds,
            marked=marked(request.request_id),
            name=request.request_id,
            progress=request.progress,
        )
        outcome = await self.http.send(call, on_fresh=False)
        if not isinstance(outcome, outcomes.Answered):
            return request_sender.ExchangeResult(outcome)
        understanding = understood(request.request_id, outcome)
        request.progress.note_answer(outcome.status, understanding.evidence)
        if understanding.odd_header:
            name = understanding.odd_header
            self.odd_headers[name] = self.odd_headers.get(name, 0) + 1
        return understanding.exchange


def marked(request_id: str) -> marks.Marks:
    """Returns what each answer to a request bears: its id."""
    return marks.Marks(outcomes.Header(headers.REQUEST_ID, request_id))


class Evidence(enum.StrEnum):
    """What the meaning of an answer rests on."""

    foreign_id = 'id of another request'
    misdirected = 'status 421'
    refusal = 'x-not-executed'
    signature = 'signature'
    no_signature = 'no signature'
    encoded = 'encoded body'
    bare_promise = 'a refusing status without x-not-executed'
    contradiction = 'x-not-executed beside a signature or another status'


class Understanding(typing.NamedTuple):
    """What a target's answer means."""

    exchange: request_sender.ExchangeResult
    evidence: Evidence
    #: Name of a header of which nothing can be made; '' if there is none.
    odd_header: str = ''


class Hold(typing.NamedTuple):
    """For how long a target wants nothing from this instance."""

    seconds: float
    #: Whether a text that should say so does not.
    is_odd: bool = False


def understood(request_id: str, answer: outcomes.Answered) -> Understanding:
    """Returns what a target's answer means.

    An answer that doesn't bear the request's own id belongs to another one,
    whatever it says: the request may run, and nothing is known of the target.
    """
    if not marks.are_own(marked(request_id), answer.status, answer.headers):
        return Understanding(
            request_sender.ExchangeResult(
                outcomes.Unknown(outcomes.Reason.answer_lost)
            ),
            Evidence.foreign_id,
        )
    evidence = _evidence(answer)
    exchange = _meaning(answer, evidence)
    if exchange.is_misdirected:
        # Another target may have this address now; what it says is its own.
        return Understanding(exchange, evidence)
    hold = Hold(0)
    if answer.status == FULL_STATUS:
        hold = hold_of(headers.all_of(answer.headers, headers.RETRY_AFTER))
    told = headers.all_of(answer.headers, headers.LEAVING)
    return Understanding(
        exchange._replace(
            is_leaving=LEAVING_TEXT in told, hold_seconds=hold.seconds
        ),
        evidence,
        headers.RETRY_AFTER if hold.is_odd else '',
    )


def hold_of(texts: abc.Sequence[str]) -> Hold:
    """Returns the time that a target asks for in the texts of a header.

    Of several the longest holds, as the careful reading.
    """
    stripped = [text.strip() for text in texts]
    seconds = [float(text) for text in stripped if SECONDS.fullmatch(text)]
    longest = min(max(seconds, default=0), LONGEST_HOLD_SECONDS)
    return Hold(longest, is_odd=len(seconds) < len(texts))


def _evidence(answer: outcomes.Answered) -> Evidence:
    """Returns what decides the meaning of an answer with the request's id.

    A success without the target's mark or with an encoded body is no answer, nor
    is a status that would promise callers what the target did not say. A target
    signs what it ran, so a signed refusal says both.
    """
    is_signed = bool(headers.find(answer.headers, headers.SIGNATURE))
    if answer.status == MISDIRECTED_STATUS and not is_signed:
        return Evidence.misdirected
    if headers.find(answer.headers, headers.NOT_RUN):
        may_refuse = answer.status in connections.REFUSING_STATUSES
        is_refusal = may_refuse and not is_signed
        return Evidence.refusal if is_refusal else Evidence.contradiction
    if not is_signed:
        return Evidence.no_signature
    if headers.find(answer.headers, headers.CONTENT_ENCODING):
        return Evidence.encoded
    if answer.status in PROMISING_STATUSES:
        return Evidence.bare_promise
    return Evidence.signature


def _meaning(
    answer: outcomes.Answered, evidence: Evidence
) -> request_sender.ExchangeResult:
    """Returns what an answer says of the request and of the target's load."""
    report = report_of(headers.find(answer.headers, headers.LOAD))
    if evidence is Evidence.misdirected:
        refused = outcomes.NotRun(outcomes.Reason.not_owner)
        return request_sender.ExchangeResult(
            refused, report, is_misdirected=True
        )
    if evidence is Evidence.refusal:
        refused = outcomes.NotRun(outcomes.Reason.target_refused)
        is_shed = answer.status == FULL_STATUS
        return request_sender.ExchangeResult(refused, report, is_shed=is_shed)
    if evidence is Evidence.signature:
        return request_sender.ExchangeResult(answer, report)
    return request_sender.ExchangeResult(
        outcomes.Unknown(outcomes.Reason.answer_lost), report
    )


@functools.lru_cache(maxsize=KEPT_REPORTS)
def report_of(text: str) -> standing.Report | None:
    """Returns a target's word on its load, or None if it gave none."""
    figures = codec.convert_texts(
        [figure.strip() for figure in text.split(',')],
        provider.LoadFigures,
    )
    if isinstance(figures, result.Err):
        return None
    running, waiting, _, *more = figures.ok_value
    slowness = more[0] / PERCENT if more else 1.0
    return standing.Report(int(running), int(waiting), slowness)


def _path(request: admission.Incoming) -> str:
    return f'{request.path}?{request.query}' if request.query else request.path


def _headers(
    request: admission.Incoming,
    admitted: admission.Admitted,
    target: directory.Target,
    seconds: float,
) -> dict[str, str]:
    named: dict[str, str] = {}
    for header in request.headers:
        known = named.get(header.name)
        separator = '; ' if header.name == 'cookie' else ', '
        named[header.name] = (
            header.text if known is None else f'{known}{separator}{header.text}'
        )
    left = max(int((seconds - MARGIN_SECONDS) * 1000), 1)
    named['host'] = request.host_header
    named[headers.REQUEST_ID] = request.request_id
    named[headers.DEADLINE] = str(left)
    named[headers.EXPECTED_TARGET] = target.name
    if request.routing_key is not None:
        named[headers.ROUTING_KEY] = str(request.routing_key)
    if admitted.organisation is not None:
        named[headers.ORGANISATION] = admitted.organisation.name
    return named
