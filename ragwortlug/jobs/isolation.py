"""Whether other entries may take this one for stopped, and start its jobs."""


class Isolation:
    """Tracks whether an entry has lost contact with all other processes.

    It has lost contact until another entry is in contact, whose announcements name the
    jobs that were submitted elsewhere, or until agents alone have been in contact for
    so long that there can be no other entry.

    Parameters
    ----------
    timeout_s : float
        Seconds of contact with agents alone that end it.
    """

    def __init__(self, timeout_s):
        self._timeout_s = timeout_s
        self._active = False
        self._hears_agents_since = None

    @property
    def active(self):
        """Return whether this entry is isolated."""
        return self._active

    def update(self, hears_entry, hears_agent, has_paused, now):
        """Update the state; return whether the entry is isolated.

        Parameters
        ----------
        hears_entry, hears_agent : bool
            Whether any other entry, and any agent, has been in contact recently.
        has_paused : bool
            Whether this process stood still for so long that others missed it.
        """
        if has_paused or not (hears_entry or hears_agent):
            self._active = True
            self._hears_agents_since = None
        elif self._active and hears_entry:
            self._active = False
        elif self._active:
            if self._hears_agents_since is None:
                self._hears_agents_since = now
            self._active = now - self._hears_agents_since < self._timeout_s
        return self._active
