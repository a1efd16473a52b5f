"""Least-squares lines through measured points, with their residuals."""

import dataclasses
import typing

import numpy as np

__all__ = ["Fit", "line"]


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """The line `intercept + slope * size` through measured points.

    Attributes:
        residual: Root mean square of the residuals, as a share of the mean of the
            absolute values.
        largest: Largest measured size.
    """

    slope: float
    intercept: float
    residual: float
    largest: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size

    def extrapolation(self, size: float) -> float:
        """Return the ratio of a size to the largest measured size."""
        return size / self.largest


def line(points: typing.Sequence[tuple[float, float]]) -> Fit:
    """Fit a line through (size, value) points by least squares."""
    sizes = np.array([size for size, _ in points], dtype=float)
    values = np.array([value for _, value in points], dtype=float)
    slope, intercept = np.polyfit(sizes, values, 1)
    residuals = values - (slope * sizes + intercept)
    mean = float(np.mean(np.abs(values))) or 1.0
    residual = float(np.sqrt(np.mean(residuals**2))) / mean
    return Fit(float(slope), float(intercept), residual, float(sizes.max()))
