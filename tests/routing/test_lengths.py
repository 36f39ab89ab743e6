import random

from quetzalpass.routing import lengths


def record(table, tokens, finished=True):
    last = lengths.bucket_index(tokens)
    table.record_at_risk(0, last)
    if finished:
        table.record_end(tokens)


class TestLifeTable:
    def test_expected_remaining_length_depends_on_generated_tokens(self):
        table = lengths.LifeTable()
        for _ in range(200):
            record(table, 10)
            record(table, 1000)
        fresh = lengths.expected_remaining(table, 0, 4096)
        old = lengths.expected_remaining(table, 50, 4096)
        assert 300 < fresh < 700
        assert 750 < old < 1100

    def test_unfinished_generations_count_as_at_risk(self):
        table = lengths.LifeTable()
        for _ in range(100):
            record(table, 10)
            record(table, 800, finished=False)
        table.refresh()
        assert 0.35 < table.survival_at(400) < 0.65

    def test_equally_long_outputs_are_not_predicted_to_end_early(self):
        table = lengths.LifeTable()
        for _ in range(100):
            record(table, 2000)
        table.refresh()
        assert table.survival_at(1900) > 0.9
        assert table.survival_at(2100) < 0.1
        assert 440 < lengths.expected_remaining(table, 1550, 4096) < 600

    def test_old_observations_lose_weight(self):
        table = lengths.LifeTable()
        for _ in range(500):
            record(table, 1000)
        for _ in range(2000):
            record(table, 20)
        assert lengths.expected_remaining(table, 0, 4096) < 60

    def test_survival_never_increases(self):
        table = lengths.LifeTable()
        generator = random.Random(5)
        for _ in range(300):
            record(
                table, round(generator.lognormvariate(5, 1)), generator.random() < 0.7
            )
        table.refresh()
        curve = [table.survival_at(tokens) for tokens in range(0, 70000, 7)]
        assert curve == sorted(curve, reverse=True)

    def test_max_tokens_bounds_the_estimate(self):
        table = lengths.LifeTable()
        for _ in range(50):
            record(table, 2000)
        assert lengths.expected_remaining(table, 90, 100) <= 10
        chances = lengths.survival_chances(table, 0, (0, 64, 256), 100)
        assert chances[1] > 0.9
        assert chances[2] == 0.0
