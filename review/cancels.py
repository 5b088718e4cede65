"""What the cases on cancelled jobs share: the clients' channels and the check."""

import asyncio
import signal

from review.site import Channel, new_id, step

CANCEL_S = 3.0
STOP_S = 0.05
# What the witness itself may be late.
SLACK_S = 0.1
CONTACT_S = 3.0
ACKNOWLEDGED = (200, 202, 204, 410)


async def open_channels(site, zone, count, restart):
    """Return open channels of clients of a zone.

    If `restart` is set, the zone's entry is stopped as planned and started again. The
    channels are opened while it is away, so that another entry has them. Then all
    machines are calm for longer than `CONTACT_S`.
    """
    own_entry = site.balancer.node_for(zone)
    program = site.programs[own_entry]
    if restart:
        program.signal(signal.SIGTERM)
        while site.balancer.node_for(zone) == own_entry:
            await asyncio.sleep(0.05)
    channels = [Channel(site, site.balancer.node_for(zone)) for _ in range(count)]
    for channel in channels:
        status, _ = await channel.post(new_id(), [step(1, 0.05)], 2000)
        if status != 200:
            raise RuntimeError(f"a first job was answered with {status}")
    if restart:
        await program.ended()
    while site.balancer.node_for(zone) != own_entry:
        await asyncio.sleep(0.05)
    await asyncio.sleep(CONTACT_S + 1.0)
    return channels


async def cancel(site, zone, job_id):
    """Cancel a job on a new channel; return when that was confirmed, or None."""
    async with Channel(site, site.balancer.node_for(zone)) as channel:
        status, _ = await channel.delete(job_id)
    return site.record.now() if status in ACKNOWLEDGED else None


def unasked(site, cancelled, runs_on=True):
    """Return what broke UNASKED, a list of texts.

    Parameters
    ----------
    cancelled : dict
        When the cancel of each job was confirmed, or None; by id.
    runs_on : bool
        Whether tasks that run on count too; they don't near other disruptions.
    """
    breaches = []
    now = site.record.now()
    ends = {
        (task, run): at for at, _, event, task, run in site.seen if event != "start"
    }
    for at, worker, event, task, run in site.seen:
        cancelled_at = cancelled.get(task.partition(".")[0])
        if event != "start" or cancelled_at is None:
            continue
        late_s = at - cancelled_at
        ran_s = ends.get((task, run), now) - cancelled_at
        if late_s > CANCEL_S + SLACK_S:
            breaches.append(
                f"UNASKED: {task} run {run} started on {worker} {late_s:.2f} s after "
                "the cancel was confirmed"
            )
        elif runs_on and ran_s > CANCEL_S + STOP_S + SLACK_S:
            breaches.append(
                f"UNASKED: {task} run {run} on {worker} ran on until {ran_s:.2f} s "
                "after the cancel was confirmed"
            )
    return breaches
