"""Grammar of one line of the rules file, read by `lark`."""

import typing

import lark

GRAMMAR: typing.Final = r"""
start: rule comment
rule: "service" NAME "path" PATH "key" key_place ["isolation" ISOLATION] -> service
    | "allow" NAME "to" NAME "rate" NUMBER "/s" "burst" INT             -> allow
    | "open" NAME "path" PATH "rate" NUMBER "/s" "burst" INT            -> open
    | "once" NAME METHOD PATH                                           -> once
key_place: "none"              -> nowhere
         | "path" INT          -> path
         | "header" HEADER     -> header
         | "query" QUERY       -> query
comment: COMMENT

ISOLATION: "keep" | "yield"
METHOD: "POST" | "PUT" | "PATCH" | "DELETE"
NAME: /[a-z0-9][a-z0-9._-]{0,62}/
HEADER: /[A-Za-z][A-Za-z0-9-]{0,62}/
QUERY: /[A-Za-z][A-Za-z0-9_]{0,62}/
PATH: /\/[A-Za-z0-9._~\/-]*/
COMMENT: /#\s*\S.*/
NUMBER: /[0-9]{1,9}(\.[0-9]{1,3})?/
INT: /[0-9]{1,9}/
%ignore /[ \t]+/
"""


class LineParts(typing.NamedTuple):
    """A parsed line, taken apart."""

    #: Name of the rule kind.
    kind: str
    tokens: list[typing.Any]
    comment: str


def parts_of(tree: lark.Tree[typing.Any]) -> LineParts:
    """Returns the parts of a parsed line."""
    rule, comment = tree.children
    return LineParts(str(rule.data), rule.children, str(comment.children[0]))


LINE_PARSER: typing.Final = lark.Lark(
    GRAMMAR,
    parser='lalr',
)
