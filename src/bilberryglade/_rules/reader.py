"""Reads the text of a rules file into a checked rule book."""

import lark
import result

from bilberryglade._rules import grammar, kinds, rules

ALLOWED_FORMS = (
    'service NAME path PATH key none|path N|header H|query Q '
    '[isolation keep|yield], '
    'allow ORGANISATION to SERVICE rate N/s burst N, '
    'open SERVICE path PATH rate N/s burst N, '
    'once SERVICE METHOD PATH; each followed by "# who asked for it"'
)


def read_rules(
    text: str,
) -> result.Result[rules.RuleBook, tuple[rules.RuleError, ...]]:
    """Parses and checks `text`.

    Blank lines and lines that hold only a comment are skipped. All errors of
    the file are returned together, in line order; nothing is half applied.
    """
    lines: list[rules.RuleLine] = []
    errors: list[rules.RuleError] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith('#'):
            continue
        outcome = _read_line(number, line)
        if isinstance(outcome, result.Ok):
            lines.append(outcome.ok_value)
        else:
            errors.append(outcome.err_value)
    errors.extend(_contradictions(lines))
    if errors:
        return result.Err(tuple(sorted(errors)))
    return result.Ok(_book(lines))


def _read_line(
    number: int,
    line: str,
) -> result.Result[rules.RuleLine, rules.RuleError]:
    try:
        tree = grammar.LINE_PARSER.parse(line)
    except lark.UnexpectedInput as error:
        return result.Err(_syntax_error(number, line, error))
    parts = grammar.parts_of(tree)
    make = kinds.rule_kinds.entries[parts.kind]
    asked_by = parts.comment.lstrip('# ')
    return result.Ok(
        rules.RuleLine(number, make(parts.tokens), asked_by),
    )


def _syntax_error(
    number: int,
    line: str,
    error: lark.UnexpectedInput,
) -> rules.RuleError:
    if '#' not in line:
        return rules.RuleError(
            number,
            0,
            'the rule has no comment that names who asked for it',
            ALLOWED_FORMS,
        )
    column = max(getattr(error, 'column', 1), 1)
    rest = line[column - 1 :].partition('#')[0].strip()
    found = rest or 'end of line'
    return rules.RuleError(
        number,
        column,
        f'unexpected {found!r}',
        ALLOWED_FORMS,
    )


def _contradictions(lines: list[rules.RuleLine]) -> list[rules.RuleError]:
    services = {
        line.rule.service
        for line in lines
        if isinstance(line.rule, rules.ServiceRule)
    }
    seen: dict[tuple[str, ...], int] = {}
    errors: list[rules.RuleError] = []
    for line in lines:
        subject = _subject(line.rule)
        first = seen.setdefault(subject, line.line)
        if first != line.line:
            problem = f'repeats line {first}'
            errors.append(
                rules.RuleError(line.line, 0, problem, 'one rule each')
            )
        service = line.rule.service
        if service not in services:
            problem = f'service {service!r} has no service rule'
            allowed = ', '.join(sorted(services)) or 'none is declared'
            errors.append(rules.RuleError(line.line, 0, problem, allowed))
    return errors


def _subject(rule: rules.Rule) -> tuple[str, ...]:
    kind = type(rule).__name__
    if isinstance(rule, rules.ServiceRule):
        return kind, rule.service
    if isinstance(rule, rules.AllowRule):
        return kind, rule.organisation, rule.service
    if isinstance(rule, rules.OpenRule):
        return kind, rule.service, rule.prefix
    return kind, rule.service, rule.method, rule.prefix


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
