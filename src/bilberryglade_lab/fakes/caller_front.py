"""Fakes behind the callers' front, which is called over its ASGI interface."""

import typing

import msgspec

from bilberryglade._callers import application, credentials
from bilberryglade._limits import tokens
from bilberryglade._rules import reader as rules_reader
from bilberryglade._state import state
from bilberryglade._values import exchanges, outcomes, requests

RULES = """
service ledger path /ledger key path 2 isolation yield # asked for by tests
service claims path /claims key none                   # asked for by tests
allow press to claims rate 5/s burst 5                 # asked for by tests
open ledger path /ledger rate 5/s burst 5              # asked for by tests
once claims POST /claims                               # asked for by tests
"""
SECRET = 'secret-of-press'
KEY = state.ApiKey(
    'key-1', 'press', credentials.digest_of(SECRET), withdrawn=False
)
NAMED = (('authorization', f'Bearer {SECRET}'), ('idempotency-key', 'claim-1'))
READ = ('GET', '/ledger/child')
WRITE = ('POST', '/claims')


class Fake:
    """Stands for the follower, the delivery, admission and authority."""

    def __init__(self) -> None:
        """Knows one organisation, two services and one API key."""
        book = rules_reader.read_rules(RULES).unwrap()
        empty = state.ClusterState()
        self.view = empty._replace(
            rules=state.RulesRevision(book=book),
            api_keys=empty.api_keys.set(KEY.digest, KEY),
        )
        self.age_seconds = 0.1
        self.has_authority = False
        self.refusal: outcomes.NotRun | None = None
        self.outcome: outcomes.Outcome = outcomes.Answered(
            200, (outcomes.Header('run-state', 'done'),), b'private'
        )
        self.withdraw_in = ''
        #: Age of the newest read once a request has run; None: unchanged.
        self.age_after_run: float | None = None
        self.delivered: list[requests.RoutedRequest] = []

    async def admit(
        self,
        name: tokens.QuotaName,
        limit: tokens.Limit,
    ) -> outcomes.NotRun | None:
        """Returns the refusal that was set, if any."""
        self.pass_through('admission')
        return self.refusal

    async def deliver(
        self,
        request: requests.RoutedRequest,
    ) -> outcomes.Outcome:
        """Takes a request and returns the outcome that was set."""
        self.pass_through('run')
        self.delivered.append(request)
        if self.age_after_run is not None:
            self.age_seconds = self.age_after_run
        return self.outcome

    def pass_through(self, step: str) -> None:
        """Withdraws the API key if this is the step for it."""
        if step == self.withdraw_in:
            withdrawn = KEY._replace(withdrawn=True)
            api_keys = self.view.api_keys.set(KEY.digest, withdrawn)
            self.view = self.view._replace(api_keys=api_keys)


class Answer(typing.NamedTuple):
    """What the caller got."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def run_state(self) -> str:
        """The state that a problem document tells."""
        return str(msgspec.json.decode(self.body)['run_state'])


async def call(
    fake: Fake,
    line: tuple[str, str] = READ,
    headers: tuple[tuple[str, str], ...] = NAMED,
    query: str = '',
) -> Answer:
    """Sends one request to the front."""
    config: typing.Any = {
        'timings': {'request_limit_ms': 5000},
        'limits': {'body_bytes': 1024},
    }
    parts: typing.Any = fake
    front = application.CallerFront(parts, parts, fake, fake, config)
    sent: list[typing.Any] = []

    async def receive() -> dict[str, typing.Any]:  # noqa: WPS430
        fake.pass_through('body')
        return {'type': 'http.request', 'body': b'', 'more_body': False}

    async def send(message: typing.Any) -> None:  # noqa: WPS430
        sent.append(message)

    scope = {
        'type': 'http',
        'method': line[0],
        'path': line[1],
        'raw_path': line[1].encode('latin-1'),
        'query_string': query.encode(),
        'headers': [(name.encode(), text.encode()) for name, text in headers],
    }
    listener = application.application(front, lambda exchange: None)
    await listener(scope, receive, send)
    return Answer(
        sent[0]['status'],
        {name.decode(): text.decode() for name, text in sent[0]['headers']},
        b''.join(message.get('body', b'') for message in sent[1:]),
    )


def _ignore(exchange: exchanges.Exchange) -> None:
    """Observes an exchange and keeps nothing of it."""
