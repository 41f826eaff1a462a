"""Imports every module that registers operations."""

import typing

from bilberryglade._operations import keys, records, rules, status, topology

REGISTERED: typing.Final = (keys, records, rules, status, topology)
