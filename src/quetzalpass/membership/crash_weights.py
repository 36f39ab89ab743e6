"""How much crashes of servers count against each of the requests that ran on them.

A crash counts against the requests to which other crashes are attributed too, or else
against all requests on the server, by a weight of one over their number.
"""

from quetzalpass.membership import suspect_records

# A request is refused after two crashes that count against it alone, or after three
# with a larger sum of weights than one.
TWO_CRASHES = 2
TWO_CRASHES_WEIGHT = 2.0
MAX_WEIGHT = 1.0


class CrashWeights:
    """Weights of the crashes in the records of a quarantine.

    Parameters
    ----------
    records : dict of str to SuspectRecord
        By fingerprint; the quarantine keeps them up to date.
    suspects_by_crash : dict of str to set of str
        Fingerprints to which each crash is attributed, by the crash's event key.
    """

    def __init__(
        self,
        records: dict[str, suspect_records.SuspectRecord],
        suspects_by_crash: dict[str, set[str]],
    ) -> None:
        self.records = records
        self.suspects_by_crash = suspects_by_crash

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether servers crashed repeatedly at one stage of a request.

        The stages are before and after the server begins to respond.
        """
        record = self.records[fingerprint]
        for opened in (False, True):
            event_keys = {
                each.event_key
                for each in record.crashes.values()
                if each.opened is opened
            }
            weight = sum(self.weight_of(fingerprint, each) for each in event_keys)
            if weight >= TWO_CRASHES_WEIGHT:
                return True
            if len(event_keys) > TWO_CRASHES and weight > MAX_WEIGHT:
                return True
        return False

    def weight_of(self, fingerprint: str, event_key: str) -> float:
        """Return how much a crash counts against a request now.

        It counts against the requests to which other crashes are attributed too, or
        against all requests on the server if there are none.
        """
        involved = self.suspects_by_crash[event_key]
        repeated = {
            each for each in involved if self.records[each].has_other_crash(event_key)
        }
        if repeated and fingerprint not in repeated:
            return 0.0
        return 1 / len(repeated or involved)
