"""Reads the text of a rules file into a checked rule book."""

import functools
import typing

import lark
import result

from bilberryglade._rules import contradictions, grammar, kinds, rules, wording

#: Lines kept parsed, so that a new revision costs only its changed lines.
MAX_KEPT_LINES: typing.Final = 16_384

Errors: typing.TypeAlias = tuple[rules.RuleError, ...]


class _Parsed(typing.NamedTuple):
    """A line without its number."""

    rule: rules.Rule
    asked_by: str


class _Refused(typing.NamedTuple):
    """A line that is no rule."""

    column: int
    problem: str
    allowed: str


def read_rules(text: str) -> result.Result[rules.RuleBook, Errors]:
    """Parses and checks `text`.

    Blank lines and lines that hold only a comment are skipped. All errors of
    the file are returned together, in line order; nothing is half applied.
    """
    lines: list[rules.RuleLine] = []
    errors: list[rules.RuleError] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith('#'):
            continue
        parsed = _parse(line)
        if isinstance(parsed, _Refused):
            errors.append(rules.RuleError(number, *parsed))
        else:
            lines.append(rules.RuleLine(number, *parsed))
    errors.extend(contradictions.find(lines))
    if errors:
        return result.Err(tuple(sorted(errors)))
    return result.Ok(_book(lines))


@functools.lru_cache(maxsize=MAX_KEPT_LINES)
def _parse(line: str) -> _Parsed | _Refused:
    try:
        tree = grammar.LINE_PARSER.parse(line)
    except lark.UnexpectedInput as error:
        return _refusal(line, error)
    parts = grammar.parts_of(tree)
    make = kinds.rule_kinds.entries[parts.kind]
    return _Parsed(make(parts.tokens), parts.comment.lstrip('# '))


def _refusal(line: str, error: lark.UnexpectedInput) -> _Refused:
    column = _column(line, error)
    terminals = wording.expected_of(error)
    allowed = wording.allowed_words(terminals)
    rest = line[column - 1 :].partition('#')[0].split()
    if rest:
        return _Refused(column, f'unexpected {rest[0]!r}', allowed)
    if 'COMMENT' in terminals:
        problem = 'no comment names who asked for the rule'
        return _Refused(column, problem, allowed)
    return _Refused(column, 'the rule ends too early', allowed)


def _column(line: str, error: lark.UnexpectedInput) -> int:
    column = int(getattr(error, 'column', 0))
    if column < 1 or isinstance(error, lark.UnexpectedEOF):
        return len(line) + 1
    token = getattr(error, 'token', None)
    if token is not None and token.type == '$END':  # noqa: S105
        return len(line.rstrip()) + 1
    return column


def _book(lines: list[rules.RuleLine]) -> rules.RuleBook:
    every = [line.rule for line in lines]
    services = [rule for rule in every if isinstance(rule, rules.ServiceRule)]
    return rules.RuleBook(
        services=tuple(
            sorted(services, key=lambda rule: len(rule.prefix), reverse=True),
        ),
        allows=tuple(
            rule for rule in every if isinstance(rule, rules.AllowRule)
        ),
        opens=tuple(rule for rule in every if isinstance(rule, rules.OpenRule)),
        onces=tuple(rule for rule in every if isinstance(rule, rules.OnceRule)),
    )
