"""Decides the next step of a rollout; time is passed in.

The share of the new version is small while the verdict is open. After a good
one it grows in steps, so that what shows only under load shows while the
requests that the new version has had stay below the bound for the whole time
of the order. Then it gets everything, and what runs at the old version ends.
"""

import typing
from collections import abc

import result

from bilberryglade._rollouts import phases, verdict
from bilberryglade._values import registry, site

#: Part of the exposure bound that is used while the verdict is open. The rest is
#: for the steps after it, and for what is under way when counts arrive.
OPEN_PART: typing.Final = 0.6
#: Part of the bound as counted so far from which the new version is paused.
PAUSE_PART: typing.Final = 0.85
#: Part of the slack that a pause leaves to requests that are not counted yet.
SLACK_PART: typing.Final = 0.5
#: Part of the bound foreseen at the deadline up to which the share may grow.
FORESEEN_PART: typing.Final = 0.9
#: Seconds after which the share is widened for a service with few requests, the
#: part of the slack that is spread over the order's time for it, and the growth
#: below which that is left alone.
WIDEN_SECONDS: typing.Final = 0.8
WIDEN_SLACK_PART: typing.Final = 0.4
WORTH_WIDENING: typing.Final = 1.3
#: Shares of the steps after a good verdict.
GROWING_SHARES: typing.Final = (0.25, 0.5)
#: Share with which the full load is tried; the rest stays for comparison.
TRIED_SHARE: typing.Final = 0.95
#: Parts of the order's time: the earliest good verdict, the length of a step,
#: the trial of the full load, and the end of it, which leaves time for the last
#: moves of keys and the longest requests. With steps of 0.25 and 0.5 the new
#: version has had 0.09 of all requests of that time when the full load comes.
VERDICT_PART: typing.Final = 0.42
STEP_PART: typing.Final = 0.08
TRIED_PART: typing.Final = 0.58
GROWN_PART: typing.Final = 0.68
#: Seconds that an order may be extended by while the store is not stable.
STRETCH_SECONDS: typing.Final = 5.0
#: Seconds from the order below which a rate of requests is not computed.
WARY_SECONDS: typing.Final = 0.5
#: Part of the order's time for which a new version is on trial at least, also
#: if its targets came late.
LEAST_OPEN_PART: typing.Final = 0.2
#: Share of a version that gets everything.
ALL_SHARE: typing.Final = 1.0


class Rollout(typing.NamedTuple):
    """How far an order is."""

    #: Number of the order: the offset of its record.
    order: int
    service: str
    #: Version in use before, and the one that is ordered.
    base: str
    version: str
    #: Seconds within which it is to end.
    seconds: float
    #: Monotonic seconds of the order.
    began_at: float
    phase: phases.Phase = phases.Phase.exposing
    #: Share of the service's requests for the new version.
    share: float = 0
    #: Monotonic seconds of the last step.
    stepped_at: float = 0
    #: Whether the new version gets nothing until its share is below the bound.
    is_paused: bool = False
    #: Why it ended or waits, for lines.
    cause: str = ''


class Facts(typing.NamedTuple):
    """What is known when a step is decided."""

    judged: verdict.Verdict = verdict.Verdict()
    #: Requests sent since the order, to all versions and to the new one.
    sent: int = 0
    sent_new: int = 0
    #: Whether the store holds the step decided last.
    is_stored: bool = True
    #: Whether targets of the new version are listed.
    has_targets: bool = True
    #: Whether all instances choose by the phase, and nothing is at or owned by
    #: targets of the old version.
    is_empty: bool = False
    is_ordered: bool = True
    #: Whether an earlier coordinator told that the version is bad.
    is_told_bad: bool = False


Step: typing.TypeAlias = abc.Callable[
    [Rollout, Facts, site.Bounds, float], Rollout
]
#: What may be due in each phase that is not final.
steps: typing.Final = registry.Registry[Step]('step of a rollout')


def open_share(bounds: site.Bounds) -> float:
    """Returns the share of a new version while the verdict is open."""
    return bounds.exposure_share * OPEN_PART


def step(
    rollout: Rollout, facts: Facts, bounds: site.Bounds, now: float
) -> Rollout:
    """Returns the rollout after what is due at `now`, at most one step."""
    if rollout.phase in phases.FINAL:
        return rollout
    ended = _ended(rollout, facts, now)
    if ended is not None:
        return ended
    if not facts.is_stored:
        # A step that a later coordinator would not know is not gone beyond.
        return rollout._replace(is_paused=_is_over(rollout, facts, bounds))
    return steps.entries[rollout.phase](rollout, facts, bounds, now)


def _ended(rollout: Rollout, facts: Facts, now: float) -> Rollout | None:
    """Returns the rollout rolled back, if that is due."""
    if rollout.phase not in phases.REVOCABLE:
        return None
    if not facts.is_ordered:
        return _moved(
            rollout, phases.Trigger.withdrawn, now, 0, 'the order was withdrawn'
        )
    if facts.is_told_bad:
        return _moved(rollout, phases.Trigger.judged_bad, now, 0, 'told before')
    judged = facts.judged
    if judged.cause is not None:
        why = (
            f'{judged.cause} {judged.excess.counted:g} of '
            f'{judged.excess.tried:g}, expected {judged.excess.expected:.1f}, '
            f'route {judged.route or "any"}'
        )
        return _moved(rollout, phases.Trigger.judged_bad, now, 0, why)
    late = now - rollout.began_at - rollout.seconds
    extension = STRETCH_SECONDS if facts.has_targets else 0
    if late > extension:
        why = 'its time is over' if facts.has_targets else 'no target runs it'
        return _moved(rollout, phases.Trigger.expired, now, 0, why)
    return None


@steps.register(phases.Phase.exposing)
def _expose(
    rollout: Rollout, facts: Facts, bounds: site.Bounds, now: float
) -> Rollout:
    if not facts.has_targets:
        return rollout._replace(share=0, cause='no target runs it')
    if not rollout.share:
        return rollout._replace(
            share=open_share(bounds), stepped_at=now, cause=''
        )
    paused = rollout._replace(is_paused=_is_over(rollout, facts, bounds))
    passed = (now - rollout.began_at) / rollout.seconds
    is_judged = facts.judged.is_enough and passed >= VERDICT_PART
    has_time_passed = (
        passed >= TRIED_PART - STEP_PART
        and now - rollout.stepped_at >= LEAST_OPEN_PART * rollout.seconds
    )
    if is_judged or (has_time_passed and not facts.judged.is_doubtful):
        first = _next_share(rollout, facts, bounds, now)
        return _moved(
            paused._replace(is_paused=False),
            phases.Trigger.judged_good,
            now,
            first,
            'enough good answers' if is_judged else 'no sign of a fault',
        )
    return _widened(paused, facts, bounds, now)


@steps.register(phases.Phase.growing)
def _grow(
    rollout: Rollout, facts: Facts, bounds: site.Bounds, now: float
) -> Rollout:
    passed = (now - rollout.began_at) / rollout.seconds
    if now - rollout.stepped_at < STEP_PART * rollout.seconds:
        return rollout
    is_tried = rollout.share >= TRIED_SHARE
    if is_tried and passed >= GROWN_PART:
        return _moved(rollout, phases.Trigger.grown, now, ALL_SHARE, 'grown')
    share = TRIED_SHARE
    if passed < TRIED_PART:
        share = _next_share(rollout, facts, bounds, now)
    if share <= rollout.share:
        return rollout
    return rollout._replace(share=share, stepped_at=now)


@steps.register(phases.Phase.emptying)
def _empty(
    rollout: Rollout, facts: Facts, _: site.Bounds, now: float
) -> Rollout:
    if not facts.is_empty:
        return rollout
    return _moved(rollout, phases.Trigger.emptied, now, ALL_SHARE, 'emptied')


@steps.register(phases.Phase.sealed)
def _seal(
    rollout: Rollout, facts: Facts, _: site.Bounds, now: float
) -> Rollout:
    if not facts.is_empty:
        return rollout
    return _moved(
        rollout, phases.Trigger.acknowledged, now, ALL_SHARE, 'completed'
    )


def _widened(
    rollout: Rollout, facts: Facts, bounds: site.Bounds, now: float
) -> Rollout:
    """Returns a rollout with a greater share if its service has few requests.

    The slack is then a large part of what the version may get, and a small
    share alone would bring too few answers for a verdict.
    """
    elapsed = now - rollout.began_at
    if now - rollout.stepped_at < WIDEN_SECONDS or not facts.sent:
        return rollout
    foreseen = facts.sent / elapsed * rollout.seconds
    slack = bounds.exposure_slack * WIDEN_SLACK_PART / foreseen
    share = min(open_share(bounds) + slack, GROWING_SHARES[0])
    if share < rollout.share * WORTH_WIDENING:
        return rollout
    return rollout._replace(share=share, stepped_at=now)


def _next_share(
    rollout: Rollout, facts: Facts, bounds: site.Bounds, now: float
) -> float:
    """Returns the share of the next step that the foreseen bound allows."""
    share = next(
        (share for share in GROWING_SHARES if share > rollout.share),
        rollout.share,
    )
    elapsed = max(now - rollout.began_at, WARY_SECONDS)
    rate = facts.sent / elapsed
    foreseen = facts.sent + rate * max(rollout.seconds - elapsed, 0)
    allowed = bounds.exposure_share * foreseen + bounds.exposure_slack
    needed = facts.sent_new + share * rate * STEP_PART * rollout.seconds
    if needed > allowed * FORESEEN_PART:
        return rollout.share
    return share


def _is_over(rollout: Rollout, facts: Facts, bounds: site.Bounds) -> bool:
    """Tells whether the new version has had too much while nothing is judged.

    A bad version may be rolled back at any time, and the rest of the order's
    time may bring no more requests: so it is the requests so far that count.
    """
    if rollout.phase is not phases.Phase.exposing:
        return False
    allowed = (
        bounds.exposure_share * PAUSE_PART * facts.sent
        + bounds.exposure_slack * SLACK_PART
    )
    return facts.sent_new > allowed


def _moved(
    rollout: Rollout,
    trigger: phases.Trigger,
    now: float,
    share: float,
    cause: str,
) -> Rollout:
    """Returns the rollout after a trigger; one that is refused is a fault."""
    moved = phases.after(rollout.phase, trigger)
    if isinstance(moved, result.Err):
        return rollout
    return rollout._replace(
        phase=moved.ok_value,
        share=share,
        stepped_at=now,
        is_paused=False,
        cause=cause,
    )
