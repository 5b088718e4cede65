"""Quotas: a team's limit, divided among all homes without messages.

Every home gets the quota divided by the number of homes, rounded down. The
remainder goes, one task each, to the homes of greatest weight for the team. The
shares add up to the quota. A home whose share would be 0 may run one task at a
time, so a quota smaller than the number of homes can be exceeded by at most that
number.
"""

import xxhash


def quota_share(team, homes, own_incarnation):
    """Return how many of a team's tasks this home may have running.

    Parameters
    ----------
    team : Team
        The team with its quota; a quota of 0 is no limit.
    homes : sequence of str
        The incarnations of all homes.
    own_incarnation : str
        The incarnation of this home.

    Returns
    -------
    int or None
        None for no limit.
    """
    if not team.quota:
        return None
    base_share, remainder = divmod(team.quota, max(len(homes), 1))
    ranked = sorted(homes, key=lambda home: _weight(team.name, home), reverse=True)
    return max(1, base_share + (own_incarnation in ranked[:remainder]))


def _weight(team, home):
    """Return a home's rendezvous weight for a team."""
    return xxhash.xxh3_64_intdigest(f"{team}/{home}".encode())
