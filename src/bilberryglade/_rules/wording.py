"""What a parser expected, in words for operators."""

import types
import typing
from collections import abc

import lark
from lark import lexer

from bilberryglade._rules import grammar

WORDS: typing.Final = types.MappingProxyType(
    {
        'NAME': 'a name (a-z, 0-9, ".", "_", "-")',
        'METHOD': 'POST, PUT, PATCH or DELETE',
        'ISOLATION': 'keep or yield',
        'HEADER': 'a header name',
        'QUERY': 'a query name',
        'PATH': 'a path that begins with "/"',
        'COMMENT': '"# who asked for it"',
        'NUMBER': 'a number',
        'INT': 'a whole number',
    },
)


def expected_of(error: lark.UnexpectedInput) -> frozenset[str]:
    """Returns the terminals that may stand where `error` happened."""
    if isinstance(error, lark.UnexpectedToken):
        return frozenset(error.accepts or error.expected)
    if isinstance(error, lark.UnexpectedCharacters):
        return frozenset(error.allowed or ())
    return frozenset(getattr(error, 'expected', ()))


def allowed_words(terminals: abc.Iterable[str]) -> str:
    """Returns the terminals of the grammar in words, in one order."""
    return ' or '.join(sorted(_word(name) for name in terminals))


def _word(name: str) -> str:
    return WORDS.get(name) or KEYWORDS.get(name) or name.lower()


def _keywords() -> dict[str, str]:
    return {
        terminal.name: f'"{terminal.pattern.value}"'
        for terminal in grammar.LINE_PARSER.terminals
        if isinstance(terminal.pattern, lexer.PatternStr)
    }


KEYWORDS: typing.Final = types.MappingProxyType(_keywords())
