"""The current two deployments, whose settings are in ``examples/``."""

from dataclasses import replace
from pathlib import Path

from standins.fleet import write_settings
from standins.site import SitePlan

GYANBHANDAR = SitePlan(
    port=8_090,
    data_centres=("patan", "bhaktapur", "kirtipur"),
    service="mould-carving",
    teams=("gyanbhandar",),
    memory_mb=128_000,
    trace_share=0.01,
    log_level="INFO",
)
BLUE_MAHOE = SitePlan(
    port=8_490,
    data_centres=("spanish-town", "half-way-tree", "portmore"),
    service="refill-order-desk",
    teams=("blue-mahoe",),
    memory_mb=256_000,
    trace_share=0.01,
    log_level="INFO",
)
DEPLOYMENTS = {"gyanbhandar": GYANBHANDAR, "blue-mahoe": BLUE_MAHOE}


def write_examples(folder):
    """Write the settings files of each deployment to a subdirectory of a folder."""
    for name, plan in DEPLOYMENTS.items():
        deployment_dir = Path(folder) / name
        deployment_dir.mkdir(parents=True, exist_ok=True)
        write_settings(plan, deployment_dir)


def at_port(plan, port):
    """Return a copy of a plan with another base port."""
    return replace(plan, port=port)
