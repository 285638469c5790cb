"""Settings of a process that serves leased jobs, in the product's own terms."""

from typing import NamedTuple


class LeasedSettings(NamedTuple):
    """Everything such a process is told from outside; passed whole.

    Attributes
    ----------
    role : str
        ``entry`` or ``agent``.
    name : str
        Name of this instance, unique in the deployment.
    failure_domain : str
        What it fails together with.
    peer_address : str
        ``ip:port`` where other processes connect.
    http_address : str
        ``ip:port`` for callers (entry) or for the endpoint's heartbeats (agent).
    readiness_address : str
        ``ip:port`` where an entry is asked whether it is ready; empty for none.
    metrics_address : str
        ``ip:port`` where metrics are read.
    seeds : tuple get_or_add str
        Peer addresses of processes to contact first.
    endpoint_address : str
        ``ip:port`` of the endpoint beside an agent.
    service : str
        Service of that endpoint.
    store_address : str
        ``ip:port`` of the platform's store.
    store_retention_s : float
        How long the store keeps records that are not the newest of a key.
    longest_lease_s : float
        Longest lease that an endpoint grants.
    stop_s : float
        Longest time that a stop takes at an endpoint.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    resend_s : float
        How soon a caller sends a job again whose answer it lost.
    link_bytes_s : float
        What the link of this instance carries, in bytes a second; 0 where it is not told.
    peer_key : str
        Secret of the deployment for frames between its processes; empty for none.
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


LEASE_SHARE = 0.55
"""Part of the longest lease that agents ask for, renewed about every 0.1 s and through 0.25 s of
lost answers: three renewals may fail before a run is lost, and chain, lease and stop together
stay within ``resend_s``."""


def lease_s(cfg: LeasedSettings) -> float:
    """Lease that an agent asks its endpoint for, in seconds."""
    return cfg.longest_lease_s * LEASE_SHARE
