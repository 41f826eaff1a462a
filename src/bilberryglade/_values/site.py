"""Where an instance runs, and the bounds that its users hold it to."""

import typing

#: Bandwidth of a link of which nothing is said, in Mbit/s.
USUAL_LINK_MBPS: typing.Final = 1000.0
#: Bounds on a version on trial where the settings name none; those of the
#: deployments that ask for rollouts.
EXPOSURE_SHARE: typing.Final = 0.1
EXPOSURE_SLACK: typing.Final = 50.0
ROLLBACK_SECONDS: typing.Final = 5.0


class Bounds(typing.NamedTuple):
    """Promises to the users; times are in seconds."""

    #: A configuration is in force so long after it was accepted.
    config_apply: float
    #: A leaving target gets no new work so long after it said so.
    drain: float
    #: A planned stop may take so long before the process is killed.
    grace: float
    #: Longest lease that a target accepts.
    longest_lease: float
    #: Repeats of a service's requests over `retry_window`, as a share of
    #: its requests, and in number beyond that share.
    retry_ratio: float
    retry_slack: float
    retry_window: float
    #: Requests a second of a cold target: factor of its rate, and addition.
    cold_factor: float
    cold_slack: float
    #: Requests that a version on trial may get between its order and its
    #: deadline: a share of those of its service, and a number beyond that.
    exposure_share: float = EXPOSURE_SHARE
    exposure_slack: float = EXPOSURE_SLACK
    #: A bad version gets no request so long after its 50th bad answer.
    rollback: float = ROLLBACK_SECONDS


class Site(typing.NamedTuple):
    """The place of one instance; addresses are IP numbers with ports."""

    instance: str
    failure_domain: str
    ip: str
    callers_address: str
    readiness_address: str
    peer_address: str
    store_address: str
    #: Seconds between two signs of life of a target.
    target_beat: float
    bounds: Bounds
    #: Processor time that the instance may use, in cores.
    processor: float = 1
    #: Bandwidth of its link, in Mbit/s.
    link_mbps: float = USUAL_LINK_MBPS
    #: Names of the optional behaviours that the deployment asks for.
    contracts: frozenset[str] = frozenset()
