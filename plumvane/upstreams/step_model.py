"""Linear model of an engine's step time by the number of running requests."""

from __future__ import annotations

__all__ = ["StepModel"]

# Factor by which the weight of earlier samples decays at each new sample.
DECAY = 0.995
# The slope is updated only while the variance of the number of running requests
# is at least this.
MIN_VARIANCE = 1.0
# Samples are clipped to within this factor of the predicted step time.
OUTLIER_FACTOR = 2.0
MIN_SAMPLES = 20


class StepModel:
    """Fits `base + slope * running` to measured step times.

    The fit is an exponentially weighted linear regression. Samples are clipped
    so that a pause of the engine does not shift the line far.
    """

    def __init__(self) -> None:
        """Creates a model without samples."""
        self.samples = 0
        self._weight = 0.0
        self._mean_running = 0.0
        self._mean_seconds = 0.0
        self._variance = 0.0
        self._covariance = 0.0
        self._slope = 0.0

    @property
    def is_fitted(self) -> bool:
        """Whether there are enough samples for predictions."""
        return self.samples >= MIN_SAMPLES and self._slope > 0.0

    def add(self, running: int, seconds: float, weight: float = 1.0) -> None:
        """Adds a sample.

        Args:
            running: Requests that were running during the step.
            seconds: Length of the step.
            weight: Weight of the sample, in (0, 1].
        """
        if self.is_fitted:
            expected = self.predict(running)
            seconds = min(
                max(seconds, expected / OUTLIER_FACTOR),
                expected * OUTLIER_FACTOR,
            )
        self.samples += 1
        self._weight = self._weight * DECAY + weight
        gain = weight / self._weight
        delta = running - self._mean_running
        self._mean_running += gain * delta
        self._mean_seconds += gain * (seconds - self._mean_seconds)
        retained = 1.0 - gain
        self._variance = retained * (self._variance + gain * delta * delta)
        self._covariance = retained * self._covariance + gain * delta * (
            seconds - self._mean_seconds
        )
        if self._variance >= MIN_VARIANCE:
            self._slope = max(0.0, self._covariance / self._variance)

    def predict(self, running: float) -> float:
        """Returns the predicted step time, in seconds."""
        return self._mean_seconds + self._slope * (running - self._mean_running)

    def max_running_within(self, seconds: float) -> float:
        """Returns how many requests keep the step within `seconds`."""
        return self._mean_running + (seconds - self._mean_seconds) / self._slope
