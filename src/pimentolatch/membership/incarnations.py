"""Names of incarnations: each start of an instance is a new incarnation."""

import dataclasses
import secrets

from pimentolatch import clock

__all__ = ["Identity", "instance_of", "new_incarnation", "started_ms"]

_SEPARATOR = "/"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """An incarnation, its failure domain and the address at which peers reach it."""

    incarnation: str
    failure_domain: str
    host: str
    port: int

    @property
    def instance(self) -> str:
        """Name of the instance."""
        return instance_of(self.incarnation)


def new_incarnation(instance: str, time: clock.Clock) -> str:
    """Return a unique name, such as `entry-1/18f2a3-9c41f0`.

    The start time in it orders the successive processes at one address; see
    `acknowledgements`. It is compared for nothing else, since the clocks of two
    machines differ.
    """
    started_ms = int(time.now().timestamp() * 1000)
    return f"{instance}{_SEPARATOR}{started_ms:x}-{secrets.token_hex(4)}"


def instance_of(incarnation: str) -> str:
    """Return the name of an incarnation's instance."""
    return incarnation.split(_SEPARATOR, 1)[0]


def started_ms(incarnation: str) -> int:
    """Return the start time in an incarnation's name, in Unix ms; 0 if it has none."""
    _, _, process = incarnation.partition(_SEPARATOR)
    try:
        return int(process.partition("-")[0], 16)
    except ValueError:
        return 0
