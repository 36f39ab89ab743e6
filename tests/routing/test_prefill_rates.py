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
    def test_declared_rate_is_used_without_measurements(self):
        assert learned([]) == DEFAULT

    def test_rate_of_a_slow_engine_is_learned(self):
        assert learned([(4_000, 1.0)] * 20) == pytest.approx(4_000, rel=0.02)

    def test_immediate_first_events_are_ignored(self):
        assert learned([(80, 0.005)]) == DEFAULT

    @pytest.mark.parametrize(("tokens", "elapsed_s"), [(10**9, 0.2), (1, 600.0)])
    def test_one_outlier_changes_the_rate_only_a_little(self, tokens, elapsed_s):
        assert 0.5 * DEFAULT < learned([(tokens, elapsed_s)]) < 3 * DEFAULT
