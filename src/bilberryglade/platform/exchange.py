"""One request to a target as the platform's protocol has it."""

import typing

import result

from bilberryglade._codec import codec
from bilberryglade._delivery import request_sender
from bilberryglade._routing import admission
from bilberryglade._targets import directory, marks, sender, standing
from bilberryglade._values import outcomes
from bilberryglade.platform import headers
from bilberryglade_schema import provider

#: Seconds by which a target is to stop before its answer is given up.
MARGIN_SECONDS: typing.Final = 0.03
MISDIRECTED_STATUS: typing.Final = 421
FULL_STATUS: typing.Final = 503
#: Statuses by which callers are told that a request has not run.
PROMISING_STATUSES: typing.Final = frozenset((408, 429, 503))
PERCENT: typing.Final = 100


class TargetExchange:
    """Sends requests to targets and reads their answers."""

    def __init__(self, http: sender.Sender) -> None:
        """Sends through `http`."""
        self.http = http

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
        )
        outcome = await self.http.send(call, on_fresh=False)
        if not isinstance(outcome, outcomes.Answered):
            return request_sender.ExchangeResult(outcome)
        return understood(request.request_id, outcome)


def marked(request_id: str) -> marks.Marks:
    """Returns what each answer to a request bears: its id."""
    return marks.Marks(outcomes.Header(headers.REQUEST_ID, request_id))


def understood(
    request_id: str, answer: outcomes.Answered
) -> request_sender.ExchangeResult:
    """Returns what a target's answer means.

    An answer that doesn't bear the request's own id belongs to another one,
    whatever it says: the request may run, and nothing is known of the load.
    A success without the target's mark or with an encoded body is no answer, nor
    is a status that would promise callers what the target did not say.
    """
    if not marks.are_own(marked(request_id), answer.status, answer.headers):
        return request_sender.ExchangeResult(
            outcomes.Unknown(outcomes.Reason.answer_lost)
        )
    report = report_of(headers.find(answer.headers, headers.LOAD))
    if answer.status == MISDIRECTED_STATUS:
        refused = outcomes.NotRun(outcomes.Reason.not_owner)
        return request_sender.ExchangeResult(
            refused, report, is_misdirected=True
        )
    if headers.find(answer.headers, headers.NOT_RUN):
        refused = outcomes.NotRun(outcomes.Reason.target_refused)
        is_shed = answer.status == FULL_STATUS
        return request_sender.ExchangeResult(refused, report, is_shed=is_shed)
    is_marked = bool(headers.find(answer.headers, headers.SIGNATURE))
    is_encoded = bool(headers.find(answer.headers, headers.CONTENT_ENCODING))
    if not is_marked or is_encoded or answer.status in PROMISING_STATUSES:
        return request_sender.ExchangeResult(
            outcomes.Unknown(outcomes.Reason.answer_lost), report
        )
    return request_sender.ExchangeResult(answer, report)


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
