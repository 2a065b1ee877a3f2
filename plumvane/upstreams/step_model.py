"""Model of an engine's step time against the requests that run at once."""

from __future__ import annotations

__all__ = ["StepModel"]

# Weight that the past keeps at each sample.
DECAY = 0.995
# Spread of the running requests below which the slope is kept.
MIN_VARIANCE = 1.0
# Most that one sample may differ from the model, as a factor.
CLIP = 2.0
MIN_SAMPLES = 20


class StepModel:
    """Fits `base + slope * running` to measured step times.

    Samples are weighted, the newest most, and clipped, so that a pause does
    not move the line far.
    """

    def __init__(self) -> None:
        """Creates a model without samples."""
        self.samples = 0
        self._weight = 0.0
        self._running = 0.0
        self._seconds = 0.0
        self._variance = 0.0
        self._covariance = 0.0
        self._slope = 0.0

    @property
    def known(self) -> bool:
        """Whether there are enough samples to predict from."""
        return self.samples >= MIN_SAMPLES and self._slope > 0.0

    def add(self, running: int, seconds: float, weight: float = 1.0) -> None:
        """Takes a sample in.

        Args:
            running: Requests that ran in the step.
            seconds: Length of the step.
            weight: How far it is trusted, above 0 and up to 1.
        """
        if self.known:
            expected = self.predict(running)
            seconds = min(max(seconds, expected / CLIP), expected * CLIP)
        self.samples += 1
        self._weight = self._weight * DECAY + weight
        share = weight / self._weight
        delta = running - self._running
        self._running += share * delta
        self._seconds += share * (seconds - self._seconds)
        kept = 1.0 - share
        self._variance = kept * (self._variance + share * delta * delta)
        self._covariance = kept * self._covariance + share * delta * (
            seconds - self._seconds
        )
        if self._variance >= MIN_VARIANCE:
            self._slope = max(0.0, self._covariance / self._variance)

    def predict(self, running: float) -> float:
        """Returns the expected step time, in seconds."""
        return self._seconds + self._slope * (running - self._running)

    def running_within(self, seconds: float) -> float:
        """Returns how many requests keep the step within a time."""
        return self._running + (seconds - self._seconds) / self._slope
