"""How many requests a brittle server runs at once, without any input or output.

Load patterns that it handles:

- Many gateways send to a server that falls over if it refuses too many requests. One
  process counts what all of them have in flight there, and admits no more than the room
  that has been found.
- The room is not known. It is found from below: it grows by one request at a time while
  more are wanted, and shrinks with each refusal, after which it rests. So a server
  refuses about one request a second, however many are wanted.
- Servers let fewer wait only some time after they have first said so. What ran until
  then proves little, so the room is halved at that time.
- A server comes back after a fall while all gateways have requests for it. Its room
  starts small again.
- Urgent and less urgent requests compete. While an urgent one was denied lately, some
  room is left for the next.
"""

import msgspec

from quetzalpass import ids

# Room of a server of which nothing is known.
INITIAL_ROOM = 2
# Servers are brittle in earnest this long after they have first said so.
SETTLE_S = 2.5
# Interval of growth while no request has been refused lately.
GROWTH_INTERVAL_S = 0.25
# After a refusal the room rests for this time, and longer for a server that falls over
# after fewer refusals than this.
REST_AFTER_REFUSAL_S = 1.0
USUAL_REFUSALS_PER_S = 3.0
MIN_REFUSALS_PER_S = 0.5
# Urgent requests are expected again for this time after one was denied.
URGENT_MEMORY_S = 1.0
# Time after which a denied request may find room.
RETRY_S = 0.03


class Admission(msgspec.Struct, frozen=True):
    """A request in flight on a server.

    Attributes
    ----------
    gateway : VmId
        Gateway that sends it.
    expires_s : float
        Loop time by which it has ended, even if nobody reports so.
    """

    gateway: ids.VmId
    expires_s: float


class ServerRoom:
    """The room of one start of a server.

    Parameters
    ----------
    size : int
        Requests that it is known to run at once.
    now_s : float
        Loop time.

    Attributes
    ----------
    admitted : dict of str to Admission
        Requests in flight, by the id of the admission.
    is_settled : bool
        Whether its server is brittle in earnest.
    changed_s : float
        Loop time of the last growth.
    rests_until_s : float
        Loop time until which it doesn't grow.
    denied_s : dict of int to float
        Loop time at which a request of each rank was last denied.
    """

    def __init__(self, size: int, now_s: float) -> None:
        self.size = max(INITIAL_ROOM, size)
        self.admitted: dict[str, Admission] = {}
        self.is_settled = False
        self.changed_s = now_s
        self.rests_until_s = now_s
        self.denied_s: dict[int, float] = {}

    def expire(self, now_s: float) -> None:
        """Forget requests that must have ended."""
        self.admitted = {
            name: each for name, each in self.admitted.items() if each.expires_s > now_s
        }

    def admit(
        self, name: str, admission: Admission, rank: int, others: int, now_s: float
    ) -> bool:
        """Admit a request if there is room; return whether that is so.

        Parameters
        ----------
        name : str
            Id of the admission, the same in all copies of its request.
        admission : Admission
            The request.
        rank : int
            Its priority; 0 is the highest.
        others : int
            Requests known to be in flight there, admitted or not.
        now_s : float
            Loop time.
        """
        if name in self.admitted:
            return True
        self.expire(now_s)
        in_flight = max(len(self.admitted), others)
        if in_flight >= self.size and self.may_grow(now_s):
            self.size += 1
            self.changed_s = now_s
        if in_flight >= self.size - self.kept_for_urgent(rank, now_s):
            self.denied_s[rank] = now_s
            return False
        self.admitted[name] = admission
        return True

    def settle(self, brittle_for_s: float, others: int, now_s: float) -> None:
        """Halve the room once its server is brittle in earnest.

        Parameters
        ----------
        brittle_for_s : float
            Time since the service has first said so, in seconds.
        others : int
            Requests known to be in flight there, admitted or not.
        now_s : float
            Loop time.
        """
        if self.is_settled or brittle_for_s < SETTLE_S:
            return
        self.is_settled = True
        in_flight = max(len(self.admitted), others)
        self.size = max(INITIAL_ROOM, min(self.size, in_flight // 2))
        self.changed_s = now_s

    def kept_for_urgent(self, rank: int, now_s: float) -> int:
        """Return the room that is kept for more urgent requests."""
        is_urgent_expected = any(
            other < rank and now_s - at_s < URGENT_MEMORY_S
            for other, at_s in self.denied_s.items()
        )
        return int(is_urgent_expected and self.size > 1)

    def may_grow(self, now_s: float) -> bool:
        """Return whether a room that is used up may be larger than known."""
        if now_s < self.rests_until_s:
            return False
        return now_s - self.changed_s >= GROWTH_INTERVAL_S

    def release(
        self, name: str, refusals: int, max_refusals_per_s: float, now_s: float
    ) -> None:
        """Record that a request has ended, and how many were refused since the last."""
        self.admitted.pop(name, None)
        if not refusals:
            return
        self.size = max(1, self.size - refusals)
        borne = max(MIN_REFUSALS_PER_S, max_refusals_per_s)
        rest_s = REST_AFTER_REFUSAL_S * max(1.0, USUAL_REFUSALS_PER_S / borne)
        self.rests_until_s = now_s + rest_s
