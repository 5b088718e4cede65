"""Quotas: a team's limit, shared out over all homes without a message.

Every home gets the whole part of the quota divided by the number of homes; the
rest goes, one each, to the homes of greatest weight for the team. The shares add
up to the quota. A home whose share would be none may run one task at a time, so
a quota smaller than the number of homes can be exceeded by at most that number.
"""

import xxhash


def quota_share(team, homes, own_incarnation):
    """Return how many of a team's tasks this home may have running.

    Parameters
    ----------
    team : Team
        The team with its quota; a quota of 0 is no limit.
    homes : sequence of str
        The names of all homes.
    own_incarnation : str
        The name of this home.

    Returns
    -------
    int or None
        None for no limit.
    """
    if not team.quota:
        return None
    whole, rest = divmod(team.quota, max(len(homes), 1))
    ranked = sorted(homes, key=lambda name: _weight(team.name, name), reverse=True)
    return max(1, whole + (own_incarnation in ranked[:rest]))


def _weight(team, home):
    """Return a home's weight for a team."""
    return xxhash.xxh3_64_intdigest(f"{team}/{home}".encode())
