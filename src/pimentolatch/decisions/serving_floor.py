"""Computes how many engines have to stay in service while others change.

Load pattern: any, with engines taken out of service by changes one after the other.
Without a floor, two changes at once can leave a model with no engine in a failure
domain.

Grounds: the share comes from the document. It is rounded down, since rounding up would
never let a domain with three engines and a share of 0.8 change one at all; two or more
engines always leave one in service. A single engine may leave for the time of its
change unless the share is 1: other failure domains serve its model meanwhile.
"""

import math

__all__ = ["min_serving"]


def min_serving(engines: int, share: float) -> int:
    """Return how many of a model's engines in a failure domain stay in service."""
    minimum = math.floor(share * engines)
    return max(minimum, 1) if engines > 1 else minimum
