import pytest

from quetzalpass.routing import prefill_rates

DEFAULT = 7_000.0


def learned(samples):
    rates = prefill_rates.PrefillRates()
    for tokens, elapsed_s in samples:
        rates.observe(
            prefill_rates.PrefillMeasurement("e-a", tokens, elapsed_s, DEFAULT)
        )
    return rates.rate("e-a", DEFAULT)


class TestPrefillRates:
    def test_the_declared_rate_holds_until_something_is_known(self):
        assert learned([]) == DEFAULT

    def test_a_slow_engine_is_found_out(self):
        assert learned([(4_000, 1.0)] * 20) == pytest.approx(4_000, rel=0.02)

    def test_first_events_that_come_at_once_say_nothing(self):
        assert learned([(80, 0.005)]) == DEFAULT

    @pytest.mark.parametrize(("tokens", "elapsed_s"), [(10**9, 0.2), (1, 600.0)])
    def test_one_odd_sample_does_not_decide(self, tokens, elapsed_s):
        assert 0.5 * DEFAULT < learned([(tokens, elapsed_s)]) < 3 * DEFAULT
