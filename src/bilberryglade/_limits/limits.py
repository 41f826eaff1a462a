"""Finds the rate and burst that the rules give to a quota."""

from bilberryglade._limits import tokens
from bilberryglade._rules import rules

OPEN = 'open'
ALLOW = 'allow'


def find_limit(
    book: rules.RuleBook,
    name: tokens.QuotaName,
) -> tokens.Limit | None:
    """Returns the limit of a quota, or None if no rule has it any more."""
    kind, _, rest = name.limit.partition('|')
    if kind == OPEN:
        service, _, prefix = rest.partition('|')
        return _open_limit(book, service, prefix)
    if kind == ALLOW:
        return _allow_limit(book, name.organisation, rest)
    return None


def _open_limit(
    book: rules.RuleBook,
    service: str,
    prefix: str,
) -> tokens.Limit | None:
    for rule in book.opens:
        if rule.service == service and rule.prefix == prefix:
            return tokens.Limit(rule.rate, rule.burst)
    return None


def _allow_limit(
    book: rules.RuleBook,
    organisation: str,
    service: str,
) -> tokens.Limit | None:
    for rule in book.allows:
        if rule.service == service and rule.organisation == organisation:
            return tokens.Limit(rule.rate, rule.burst)
    return None
