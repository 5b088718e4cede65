"""Settings and configurations in the platform's format, for sites on loopback."""

import json

INNER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 7720, 8161, 8167, 8166

_TEMPLATE = """
ip = "{advertised_host}"
zone = "{zone}"
internal_port_range = [{inner}, {inner}]
seed_nodes = {seeds}
[listen_addrs]
front = "{listen_host}:{front}"
ready = "{listen_host}:{ready}"
control = "{listen_host}:{control}"
[bounds]
grace_s = 6
retransmit_ms = 1300
max_hold_ms = 1000
[platform]
address = "{store}"
"""


def settings_text(listen_host, advertised_host, zone, seeds, store):
    """Return the text of the settings file of one process, in TOML.

    Parameters
    ----------
    listen_host, advertised_host : str
        The host on which it listens, and the host that it announces to others.
    zone : str
        Data centre of the process.
    seeds : sequence of str
        Hosts of some entries, from which it learns the others.
    store : str
        Address of the store, as ``IP:PORT``.
    """
    return _TEMPLATE.format(
        listen_host=listen_host,
        advertised_host=advertised_host,
        zone=zone,
        inner=INNER_PORT,
        front=FRONT_PORT,
        ready=READY_PORT,
        control=CONTROL_PORT,
        seeds=json.dumps([f"{host}:{CONTROL_PORT}" for host in seeds]),
        store=store,
    )


def configuration(version, prefixes, host, service, max_attempts):
    """Return the operators' configuration with one route per path prefix.

    Returns
    -------
    bytes
        The configuration in JSON.
    """
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
