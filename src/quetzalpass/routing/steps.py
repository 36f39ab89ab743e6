"""Model of an engine's step duration by batch size, learned from load reports."""

OBSERVATION_DECAY = 0.995
MIN_OBSERVATIONS = 20.0
SLOWNESS_WEIGHT = 0.1
# Reports of servers slower than others by more than this don't update the model.
MAX_LEARNED_SLOWNESS = 1.5


class StepModel:
    """Linear regression of step duration on batch size, with decaying weights."""

    def __init__(self) -> None:
        self.weight = 0.0
        self.sum_size = 0.0
        self.sum_step_s = 0.0
        self.sum_size_squared = 0.0
        self.sum_product = 0.0

    @property
    def ready(self) -> bool:
        """Whether there are enough observations for a prediction."""
        return self.weight >= MIN_OBSERVATIONS

    def observe(self, size: int, step_s: float) -> None:
        """Add the mean step of an engine that runs ``size`` sequences."""
        self.weight = self.weight * OBSERVATION_DECAY + 1.0
        self.sum_size = self.sum_size * OBSERVATION_DECAY + size
        self.sum_step_s = self.sum_step_s * OBSERVATION_DECAY + step_s
        self.sum_size_squared = self.sum_size_squared * OBSERVATION_DECAY + size * size
        self.sum_product = self.sum_product * OBSERVATION_DECAY + size * step_s

    def predict(self, size: float) -> float:
        """Return the expected step in seconds; it never decreases with the size."""
        if not self.ready:
            return 0.0
        spread = self.weight * self.sum_size_squared - self.sum_size**2
        mean_s = self.sum_step_s / self.weight
        if spread <= 0.0:
            return mean_s
        slope = self.weight * self.sum_product - self.sum_size * self.sum_step_s
        slope_s = max(0.0, slope / spread)
        return mean_s + slope_s * (size - self.sum_size / self.weight)


class Slowness:
    """How much slower one server is than others with the same model."""

    def __init__(self) -> None:
        self.factor = 1.0

    def observe(self, model: StepModel, size: int, step_s: float) -> None:
        """Update the factor, and the model unless the server is too slow."""
        expected_s = model.predict(size)
        if expected_s > 0.0:
            ratio = step_s / expected_s
            self.factor += SLOWNESS_WEIGHT * (ratio - self.factor)
        if self.factor < MAX_LEARNED_SLOWNESS:
            model.observe(size, step_s)
