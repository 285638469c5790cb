"""Settings of a process that serves leased jobs, independent of the platform's file format."""

from typing import NamedTuple


class LeasedSettings(NamedTuple):
    """Settings of one entry or agent.

    Attributes
    ----------
    role : str
        ``entry`` or ``agent``.
    name : str
        Name of this instance, unique in the deployment.
    failure_domain : str
        Failure domain that the instance is in.
    peer_address : str
        ``ip:port`` where other processes connect to this one.
    http_address : str
        ``ip:port`` for callers (entry) or for the endpoint's heartbeats (agent).
    readiness_address : str
        ``ip:port`` of an entry's readiness checks; empty for none.
    metrics_address : str
        ``ip:port`` where metrics are exposed.
    seeds : tuple of str
        Peer addresses to connect to at start.
    endpoint_address : str
        ``ip:port`` of an agent's endpoint.
    service : str
        Service of that endpoint.
    store_address : str
        ``ip:port`` of the platform's store.
    store_retention_s : float
        Time in seconds that the store keeps records that are not the newest of their key.
    longest_lease_s : float
        Longest lease that an endpoint grants, in seconds.
    stop_s : float
        Longest time that an endpoint takes to stop a run, in seconds.
    grace_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    resend_s : float
        Time after which a caller resends a job whose answer it lost, in seconds.
    link_bytes_s : float
        Bandwidth of the instance's network link, in bytes per second; 0 if unknown.
    peer_key : str
        Shared secret that authenticates frames between processes; empty for none.
    """

    role: str
    name: str
    failure_domain: str
    peer_address: str
    http_address: str
    readiness_address: str = ""
    metrics_address: str = ""
    seeds: tuple[str, ...] = ()
    endpoint_address: str = ""
    service: str = ""
    store_address: str = ""
    store_retention_s: float = 20.0
    longest_lease_s: float = 1.0
    stop_s: float = 0.05
    grace_s: float = 6.0
    resend_s: float = 1.3
    link_bytes_s: float = 0.0
    peer_key: str = ""


LEASE_RATIO = 0.55
"""Part of the longest lease that agents request. It covers several failed renewals before a run is
lost, while entry lease, endpoint lease and stop together stay within ``resend_s``."""


def lease_s(cfg: LeasedSettings) -> float:
    """Lease that an agent requests from its endpoint, in seconds."""
    return cfg.longest_lease_s * LEASE_RATIO
