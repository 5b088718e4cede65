"""Which entries this one can't exchange messages with directly.

Two entries may be cut off from each other while agents reach both, and a caller may
move from one to the other. Their messages then go by way of agents.
"""

# An entry that sends announcements is silent if none arrived for this long.
SILENT_S = 0.35
# An entry that has been silent for longer is taken to have stopped.
RELAY_FOR_S = 15.0


class EntryRoutes:
    """The direct contact with other entries, by their addresses."""

    def __init__(self):
        # Monotonic seconds of each entry's latest direct message, or since when its
        # address is known.
        self._last_contact_at = {}
        # When an entry last reported that this one is silent.
        self._reported_at = {}
        self._relayed = frozenset()

    def set_entries(self, addresses, now):
        """Set the addresses of all other entries; forget those that are gone."""
        self._last_contact_at = {
            address: self._last_contact_at.get(address, now) for address in addresses
        }
        self._reported_at = {
            address: reported_at
            for address, reported_at in self._reported_at.items()
            if address in self._last_contact_at
        }

    def on_direct_contact(self, address, now):
        """Record a message that an entry has sent directly."""
        self._last_contact_at[address] = now

    def on_silence_reported(self, address, is_silent, now):
        """Record whether an entry reports that this one is silent."""
        if is_silent:
            self._reported_at[address] = now
        else:
            self._reported_at.pop(address, None)

    def silent(self, now):
        """Return the addresses of the entries that are silent, a sorted tuple."""
        return tuple(
            sorted(
                address
                for address in self._last_contact_at
                if self._is_silent(address, now)
            )
        )

    def update(self, now):
        """Return the entries to which relaying has begun and ended since, two sets."""
        relayed = frozenset(
            address
            for address in self._last_contact_at
            if self.needs_relay(address, now)
        )
        begun, ended = relayed - self._relayed, self._relayed - relayed
        self._relayed = relayed
        return begun, ended

    def needs_relay(self, address, now):
        """Return whether messages to an entry must also go by way of agents."""
        if address not in self._last_contact_at:
            return False
        if self._is_silent(address, now):
            return True
        reported_at = self._reported_at.get(address)
        return reported_at is not None and now - reported_at <= RELAY_FOR_S

    def _is_silent(self, address, now):
        """Return whether an entry is silent, but not taken to have stopped."""
        silent_s = now - self._last_contact_at[address]
        return SILENT_S < silent_s <= RELAY_FOR_S
