"""The lease that an agent gives to what runs on one boot of its worker."""

MS_PER_S = 1000.0
CLOCK_DRIFT_FACTOR = 1.03
WORKER_ANSWER_TIMEOUT_S = 0.35
MAX_TOKEN_STEP = 24 * 3_600_000


class WorkerLease:
    """The lease, the fencing token and the answers of the current boot.

    Attributes
    ----------
    fencing_token : int
        The token of the agent's commands; 0 before the first boot.
    expires_at : float
        Monotonic seconds at which every lease that was given must have expired.
    silent_since, failing_since : float or None
        Since when the worker is silent, and since when its calls fail.
    refused : bool
        Whether a connection was refused since calls fail. That does not prove that the
        worker's process ended: a network may reject connections to one that runs.
    """

    def __init__(self):
        self.fencing_token = 0
        self.expires_at = 0.0
        self.silent_since = None
        self.failing_since = None
        self.refused = False
        self._answered_token = 0
        self._token_step = 1
        self._last_answer_at = 0.0
        self._clock_base = None
        self._clock_requested_at = 0.0

    @property
    def clock_base(self):
        """Return when the worker's clock was read last, and its ms, or None."""
        return self._clock_base

    @property
    def clock_bound(self):
        """Return a time before the worker's clock was read last, and its ms.

        The answer may have been handled long after the worker read its clock.
        """
        return (self._clock_requested_at, self.least_clock_ms)

    @property
    def least_clock_ms(self):
        """Return what the worker's clock has shown at least."""
        return 0 if self._clock_base is None else self._clock_base[1]

    @property
    def last_answer_at(self):
        """Return the monotonic seconds of the worker's latest answer."""
        return self._last_answer_at

    @property
    def is_fenced(self):
        """Return whether the worker refuses all commands with an earlier token."""
        return self._answered_token >= self.fencing_token

    @property
    def can_give(self):
        """Return whether a lease may be given.

        It would also cover commands with an earlier token that are carried out late.
        """
        return (
            self._clock_base is not None
            and self.silent_since is None
            and self.is_fenced
        )

    def begin_boot(self, fencing_token, expires_at):
        """Forget the former boot; commands to the new one have a higher token.

        `expires_at` bounds the lease that the new boot may have been given already.
        """
        self.raise_token(max(fencing_token, self.fencing_token + 1))
        self.expires_at = expires_at
        self.silent_since = None
        self.failing_since = None
        self.refused = False
        self._clock_base = None

    def raise_token(self, minimum):
        """Raise the token of later commands to at least `minimum`."""
        self.fencing_token = max(self.fencing_token, minimum)

    def raise_refused_token(self, minimum):
        """Raise a token that the worker refused, each time by twice as much.

        A former process may have used tokens of a boot whose clock was far ahead.
        """
        self.raise_token(max(minimum, self.fencing_token + self._token_step))
        self._token_step = min(2 * self._token_step, MAX_TOKEN_STEP)

    def give(self, expires_at):
        """Give a lease; return when it expires, in ms of the worker's clock."""
        self.expires_at = max(self.expires_at, expires_at)
        sampled_at, clock_ms = self._clock_base
        return clock_ms + int((expires_at - sampled_at) * MS_PER_S / CLOCK_DRIFT_FACTOR)

    def on_contact(self, fencing_token, now):
        """Record that the worker answered a call with a token."""
        self._answered_token = max(self._answered_token, fencing_token)
        self._token_step = 1
        self._last_answer_at = now
        self.failing_since = None
        self.refused = False

    def on_clock(self, clock_ms, requested_at, now):
        """Record the clock in a current answer; return how long it was silent, or 0.

        `requested_at` is when the answer was requested, in monotonic seconds.
        """
        self._clock_base = (now, clock_ms)
        self._clock_requested_at = requested_at
        silent_s = 0.0 if self.silent_since is None else now - self.silent_since
        self.silent_since = None
        return silent_s

    def on_failure(self, refused, now):
        """Record a call without an answer; return whether the worker fell silent."""
        if self.failing_since is None:
            self.failing_since = now
        self.refused |= refused
        silent = refused or now - self._last_answer_at > WORKER_ANSWER_TIMEOUT_S
        if not silent or self.silent_since is not None:
            return False
        self.silent_since = now
        return True
