"""Judges a new version by the evidence: bad, good enough to grow, or open."""

import enum
import math
import typing
from collections import abc

from bilberryglade._rollouts import evidence
from bilberryglade._values import registry

#: Standard deviations by which a count must exceed what was expected.
DEVIATIONS: typing.Final = 3.0
#: Answers come in clusters (a slow spell of a machine takes all that run on
#: it), so that counts vary more than independent ones; factors on the variance.
FAILURE_CLUSTERS: typing.Final = 2.0
SLOW_CLUSTERS: typing.Final = 4.0
#: Least excess that counts, in answers and as a share of all. A small choice of
#: targets avoids slow spells less well than a large one: with three targets up to
#: 0.18 of a good version's answers were slow beyond what was expected.
LEAST_FAILURES: typing.Final = 4.0
FAILED_SHARE: typing.Final = 0.02
LEAST_SLOW: typing.Final = 5.0
SLOW_SHARE: typing.Final = 0.25
#: Part of the least excess and share that must be left when the worst instance,
#: or the worst target, is left out.
SPREAD_PART: typing.Final = 0.4
#: Excess from which one target alone may be the cause: rollback counts from the
#: 50th bad answer.
MANY_BAD: typing.Final = 35.0
#: Excess from which a version with few answers does not grow.
DOUBTFUL_FAILURES: typing.Final = 2.0
DOUBTFUL_SHARE: typing.Final = 0.2
#: Answers of the new version, in all and by route, that are enough to grow.
ENOUGH_ANSWERS: typing.Final = 30
ENOUGH_BY_ROUTE: typing.Final = 8
#: Share of the old version's answers from which a route must have enough.
USED_ROUTE_SHARE: typing.Final = 0.05


class Cause(enum.StrEnum):
    """Why a version is bad."""

    failures = 'failures'
    slowness = 'slowness'


class Rule(typing.NamedTuple):
    """From which excess on a count tells of a bad version."""

    least: float
    share: float
    clusters: float
    read: abc.Callable[[evidence.Score], evidence.Excess]


class Verdict(typing.NamedTuple):
    """What the evidence says of the new version."""

    #: Why it is bad; None if nothing shows that.
    cause: Cause | None = None
    #: Route on which it is bad; '' if on all of them together.
    route: str = ''
    excess: evidence.Excess = evidence.Excess()
    #: Whether there are enough answers to take it for good.
    is_enough: bool = False
    #: Whether few answers, but many of them, were not good.
    is_doubtful: bool = False


#: Which excess of a score tells of a cause, and from where on.
rules: typing.Final = registry.Registry[Rule]('rule of a verdict')
rules.register(Cause.failures)(
    Rule(
        LEAST_FAILURES, FAILED_SHARE, FAILURE_CLUSTERS, lambda score: score.bad
    )
)
rules.register(Cause.slowness)(
    Rule(LEAST_SLOW, SLOW_SHARE, SLOW_CLUSTERS, lambda score: score.slow)
)

#: What is known of parts of the answers, by the part's name.
Parts: typing.TypeAlias = abc.Mapping[str, evidence.Excess]


def judge(known: evidence.Evidence, instances: int, targets: int) -> Verdict:
    """Returns the verdict.

    `instances` and `targets` are how many could show a fault: where there are
    several, one alone is no sign of a bad version.
    """
    routes = sorted({group.route for group in known.scores})
    for route in ('', *routes):
        for cause, rule in rules.entries.items():
            excess = _parts(known, rule, route, evidence.Axis.whole).get(
                '', evidence.Excess()
            )
            if _is_bad(excess, rule) and _is_spread(
                known, rule, route, (instances, targets)
            ):
                return Verdict(Cause(cause), route, excess)
    whole = _parts(
        known, rules.entries[Cause.failures], '', evidence.Axis.whole
    )
    failures = whole.get('', evidence.Excess())
    return Verdict(
        is_enough=_is_enough(known),
        is_doubtful=failures.beyond
        >= max(DOUBTFUL_FAILURES, DOUBTFUL_SHARE * failures.tried),
    )


def _parts(
    known: evidence.Evidence, rule: Rule, route: str, axis: evidence.Axis
) -> Parts:
    """Returns the excess of each part of the answers on a route, '' for all."""
    parts: dict[str, evidence.Excess] = {}
    for group, score in known.scores.items():
        if group.axis is axis and route in {'', group.route}:
            before = parts.get(group.name, evidence.Excess())
            parts[group.name] = before.plus(rule.read(score))
    return parts


def _is_bad(excess: evidence.Excess, rule: Rule) -> bool:
    deviation = math.sqrt(excess.variance * rule.clusters)
    return excess.beyond >= max(
        rule.least + DEVIATIONS * deviation, rule.share * excess.tried
    )


def _is_spread(
    known: evidence.Evidence,
    rule: Rule,
    route: str,
    possible: tuple[int, int],
) -> bool:
    """Tells whether more than one instance and one target show the fault."""
    instances, targets = possible
    by_instance = _parts(known, rule, route, evidence.Axis.instance)
    if instances > 1 and not _holds_without_worst(by_instance, rule):
        return False
    by_target = _parts(known, rule, route, evidence.Axis.target)
    beyond = sum(excess.beyond for excess in by_target.values())
    if targets <= 1 or beyond >= MANY_BAD:
        return True
    return _holds_without_worst(by_target, rule)


def _holds_without_worst(parts: Parts, rule: Rule) -> bool:
    """Tells whether an excess is left without the part that shows most."""
    worst = max(parts, key=lambda name: parts[name].beyond)
    rest = evidence.Excess()
    for name, excess in parts.items():
        if name != worst:
            rest = rest.plus(excess)
    least = max(rule.least, rule.share * rest.tried) * SPREAD_PART
    return rest.beyond >= least


def _is_enough(known: evidence.Evidence) -> bool:
    answers: dict[str, float] = {}
    for group, score in known.scores.items():
        if group.axis is evidence.Axis.whole:
            answers[group.route] = score.bad.tried
    if sum(answers.values()) < ENOUGH_ANSWERS:
        return False
    least = sum(known.old_answers.values()) * USED_ROUTE_SHARE
    return all(
        answers.get(route, 0) >= ENOUGH_BY_ROUTE
        for route, count in known.old_answers.items()
        if count >= least
    )
