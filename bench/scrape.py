"""Reads the daemons' metrics and the operating system's account of them."""

import os
from collections import Counter
from pathlib import Path

import aiohttp

from standins.fleet import daemon_names

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12


def processor_s(pid):
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    used = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return used / TICKS_PER_S


def memory_mb(pid):
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / (1 << 20)


async def counters(plan):
    """Return the counters of all daemons added up, by name and kind."""
    total = Counter()
    async with aiohttp.ClientSession() as session:
        for name in daemon_names(plan):
            for key, value in (await _scrape(session, plan, name)).items():
                total[key] += value
    return total


async def daemon_counters(plan, name):
    """Return the counters of one daemon."""
    async with aiohttp.ClientSession() as session:
        return await _scrape(session, plan, name)


async def _scrape(session, plan, name):
    """Return one daemon's counters."""
    found = Counter()
    async with session.get(f"{plan.url_of(name)}/metrics") as response:
        text = await response.text()
    for line in text.splitlines():
        if line.startswith("#") or "_created" in line or "_total{" not in line:
            continue
        series, _, value = line.rpartition(" ")
        metric, _, labels = series.partition("_total{kind=")
        kind = labels.strip('"}')
        found[(metric.removeprefix("ragwortlug_"), kind)] += float(value)
    return found
