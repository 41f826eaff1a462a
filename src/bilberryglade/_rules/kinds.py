"""Registered rule kinds: each turns a parsed line into a typed rule."""

import typing
from collections import abc

import lark

from bilberryglade._rules import rules
from bilberryglade._values import registry

RuleMaker: typing.TypeAlias = abc.Callable[
    [list[typing.Any]],
    rules.Rule,
]

rule_kinds: typing.Final = registry.Registry[RuleMaker]('rule kind')


@rule_kinds.register('service')
def make_service(parts: list[typing.Any]) -> rules.Rule:
    """Returns the rule of a `service` line."""
    name, prefix, key_place, isolation = parts
    place, key_name = _key_place(key_place)
    return rules.ServiceRule(
        service=str(name),
        prefix=str(prefix),
        key_place=place,
        key_name=key_name,
        isolation=rules.Isolation(str(isolation or 'yield')),
    )


@rule_kinds.register('allow')
def make_allow(parts: list[typing.Any]) -> rules.Rule:
    """Returns the rule of an `allow` line."""
    organisation, service, rate, burst = parts
    return rules.AllowRule(
        organisation=str(organisation),
        service=str(service),
        rate=float(rate),
        burst=int(burst),
    )


@rule_kinds.register('open')
def make_open(parts: list[typing.Any]) -> rules.Rule:
    """Returns the rule of an `open` line."""
    service, prefix, rate, burst = parts
    return rules.OpenRule(
        service=str(service),
        prefix=str(prefix),
        rate=float(rate),
        burst=int(burst),
    )


@rule_kinds.register('once')
def make_once(parts: list[typing.Any]) -> rules.Rule:
    """Returns the rule of a `once` line."""
    service, method, prefix = parts
    return rules.OnceRule(
        service=str(service),
        method=str(method),
        prefix=str(prefix),
    )


def _key_place(tree: lark.Tree[lark.Token]) -> tuple[rules.KeyPlace, str]:
    if tree.data == 'nowhere':
        return rules.KeyPlace.nowhere, ''
    key_name = str(tree.children[0])
    return rules.KeyPlace(str(tree.data)), key_name.lower()
