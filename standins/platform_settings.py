"""Settings files and configurations in the platform's format, for loopback sites."""

import json

INNER, FRONT, READY, CONTROL = 7720, 8161, 8167, 8166

_TEXT = """
ip = "{told}"
zone = "{zone}"
internal_port_range = [{inner}, {inner}]
seed_nodes = {seeds}
[listen_addrs]
front = "{own}:{front}"
ready = "{own}:{ready}"
control = "{own}:{control}"
[bounds]
grace_s = 6
retransmit_ms = 1300
max_hold_ms = 1000
[platform]
address = "{store}"
"""


def settings_text(own, told, zone, seeds, store):
    """Return the settings file of one program.

    Parameters
    ----------
    own, told : str
        The host at which it listens, and the one that others are told.
    zone : str
        Its data centre.
    seeds : sequence of str
        Hosts of some entries.
    store : str
        ``IP:PORT`` of the store.
    """
    return _TEXT.format(
        own=own,
        told=told,
        zone=zone,
        inner=INNER,
        front=FRONT,
        ready=READY,
        control=CONTROL,
        seeds=json.dumps([f"{each}:{CONTROL}" for each in seeds]),
        store=store,
    )


def configuration(version, prefixes, host, service, max_attempts):
    """Return the operators' configuration, in bytes, with a queue for each prefix."""
    routes = [
        {
            "name": prefix.strip("/"),
            "host": host,
            "prefix": prefix,
            "service": service,
            "max_attempts": max_attempts,
            "stretch": 1.6,
            "slo_ms": 60,
        }
        for prefix in prefixes
    ]
    body = {"version": version, "routes": routes, "services": []}
    return json.dumps(body).encode()
