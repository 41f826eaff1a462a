"""Sends requests to targets and keeps the standing of each target."""

import typing
from collections import abc

from bilberryglade._delivery import dispatching, endings
from bilberryglade._knowledge import reading
from bilberryglade._membership import fleet
from bilberryglade._routing import admission
from bilberryglade._targets import choosing, directory, standing
from bilberryglade._values import clock, outcomes, spreading


class Sent(typing.NamedTuple):
    """What came of one send, as the platform's answer was understood."""

    outcome: outcomes.Outcome
    #: None if the answer told nothing of its target's load.
    report: standing.Report | None = None
    #: Whether the target has no room, and said so.
    is_shed: bool = False
    #: Whether another target has the address, or the target lacks the key.
    is_misdirected: bool = False


class Exchange(typing.Protocol):
    """Sends one request to a target by the platform's protocol."""

    async def __call__(
        self,
        request: admission.Incoming,
        admitted: admission.Admitted,
        target: directory.Target,
        seconds: float,
    ) -> Sent:
        """Returns what came of the send within `seconds`."""


LOST: typing.Final = outcomes.Unknown(outcomes.Reason.answer_lost)
#: Instances that may send to one cold target: with one request each in
#: `choosing.COLD_SPACING_SECONDS` they stay within what it bears.
MARGIN_REQUESTS: typing.Final = 2.0


class Sends:
    """The one way from this instance to targets."""

    def __init__(
        self,
        reader: reading.Reader,
        members: fleet.Fleet,
        exchange: Exchange,
        cold_room: abc.Callable[[str], float],
        permits: dispatching.Dispatching,
    ) -> None:
        """`cold_room` returns what a cold target of a service bears.

        `permits` is told what came of the requests that had one.
        """
        self.reader = reader
        self.members = members
        self.exchange = exchange
        self.cold_room = cold_room
        self.permits = permits
        self.standings: dict[directory.Life, standing.Standing] = {}
        #: Called when the connection of a request broke at a target.
        self.on_loss: abc.Callable[
            [admission.Incoming, directory.Target], None
        ] = lambda *_: None
        #: Requests at a target that may run once.
        self.under_way: set[str] = set()

    def is_under_way(self, request_id: str) -> bool:
        """Tells whether a request that may run once is at a target."""
        return request_id in self.under_way

    def view(self, target: directory.Target) -> choosing.View:
        """Returns a target as this instance sees it."""
        known = self.standings.get(directory.life_of(target))
        return choosing.View(
            target,
            known or standing.Standing(),
            may_warm=self._may_warm(target),
        )

    async def send(
        self,
        request: admission.Incoming,
        admitted: admission.Admitted,
        target: directory.Target,
        seconds: float,
        permitted: dispatching.Permitted | None = None,
    ) -> outcomes.Outcome:
        """Sends a request once and takes in how that went.

        `permitted` is the dispatcher's permit, if there was one.
        """
        began = clock.now()
        self._begin(target, began)
        if not admitted.route.repeatable:
            self.under_way.add(request.request_id)
        ended = endings.Ended(endings.Ending.abandoned)
        try:
            sent = await self.exchange(request, admitted, target, seconds)
            ended = _ended(sent, clock.now() - began)
        finally:
            self.under_way.discard(request.request_id)
            self._end(target, ended, permitted)
        if sent.outcome == LOST:
            self.on_loss(request, target)
        return sent.outcome

    def doubt(self, life: str) -> None:
        """Takes in that some instance saw a life of a target fall.

        It may be back before its new entry is read, and is cold then.
        """
        until = clock.now() + standing.DOUBT_SECONDS
        listed = self.reader.known.directory
        for target in listed.targets.values():
            if str(directory.life_of(target)) == life:
                known = self.view(target).standing
                self.standings[directory.life_of(target)] = known._replace(
                    doubtful_until=until
                )

    def forget_gone(self) -> None:
        """Drops the standing of targets that are not listed any more."""
        directory_now = self.reader.known.directory
        listed = {
            directory.life_of(target)
            for target in directory_now.targets.values()
        }
        for life in list(self.standings):
            if life not in listed and not self.standings[life].outstanding:
                self.standings.pop(life)

    def _begin(self, target: directory.Target, now: float) -> None:
        view = self.view(target)
        known = standing.sent(view.standing)
        if choosing.is_cold(view, now):
            known = known._replace(cold_sent_at=now)
        self.standings[directory.life_of(target)] = known

    def _end(
        self,
        target: directory.Target,
        ended: endings.Ended,
        permitted: dispatching.Permitted | None,
    ) -> None:
        life = directory.life_of(target)
        known = standing.ended(self.standings[life])
        self.standings[life] = endings.after(known, target, ended, clock.now())
        if permitted is not None:
            self.permits.end(permitted, ended)

    def _may_warm(self, target: directory.Target) -> bool:
        """Tells whether this instance is among those that warm a target."""
        room = self.cold_room(target.service)
        if not room:
            return True
        count = int(room - MARGIN_REQUESTS)
        names = self.members.members
        if len(names) <= count:
            return True
        own = spreading.score(self.members.own.name, target.name)
        better = sum(spreading.score(name, target.name) > own for name in names)
        return better < count


def _ended(sent: Sent, seconds: float) -> endings.Ended:
    """Returns what a send that took `seconds` tells of its target."""
    ending = endings.of_outcome(sent.outcome)
    if sent.is_misdirected:
        ending = endings.Ending.refused
    if sent.is_shed:
        ending = endings.Ending.shed
    return endings.Ended(ending, seconds, sent.report)
