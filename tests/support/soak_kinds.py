"""The kinds of runs of the soak: what each draws, injects and checks."""

import collections.abc
import dataclasses

from tests.support import (
    path_world,
    soak_clients,
    soak_copies,
    soak_entries,
    soak_faults,
    soak_outages,
    soak_paths,
    soak_pauses,
    soak_releases,
    soak_standstills,
    soak_stops,
    soak_uneven,
    soak_world,
    stopped_servers,
)

__all__ = ["KINDS", "STANDARD", "Kind"]

GATEWAYS = 4
CLIENTS = 12
FAULT_INTERVAL_S = 0.4


def _draw(seed, seconds):
    faults = _draw_silence(seed, seconds)
    faults += soak_faults.draw(seed, seconds, FAULT_INTERVAL_S)
    faults += soak_faults.draw_cuts(seed, seconds)
    return sorted(faults, key=lambda fault: fault.at)


def _draw_silence(seed, seconds):
    faults = soak_faults.draw_notices(seed, seconds)
    faults += soak_faults.draw_silence(seed, seconds)
    return sorted(faults, key=lambda fault: fault.at)


def _draw_entries(seed, seconds):
    faults = soak_entries.draw(seed, seconds, alone=_every_fourth(seed))
    faults += soak_entries.draw_odd(seed, seconds)
    return sorted(faults, key=lambda fault: fault.at)


def _never(seed):
    return False


def _every_other(seed):
    return seed % 2 == 1


def _every_fourth(seed):
    return seed % 4 == 0


def _clients(world, seed, clock, count=CLIENTS):
    return [
        soak_clients.Client(world, number, seed * 1000 + number, clock)
        for number in range(count)
    ]


def _uneven_clients(world, seed, clock):
    return _clients(world, seed, clock, soak_uneven.CLIENTS)


def _world(disabled_safeguard):
    if disabled_safeguard is None:
        return soak_world.SoakWorld()
    return soak_world.SoakWorld(
        "tests.support.safeguard_removal", (disabled_safeguard,)
    )


def _path_world(disabled_safeguard):
    names = () if disabled_safeguard is None else (disabled_safeguard,)
    return path_world.PathWorld(names)


def _process_world(disabled_safeguard):
    if disabled_safeguard is None:
        return stopped_servers.ProcessWorld()
    return stopped_servers.ProcessWorld(
        "tests.support.safeguard_removal", (disabled_safeguard,)
    )


def _unprepared(world, seed):
    pass


def _unchecked(attempts, servers, injector, margin_s):
    return ()


async def _unchecked_at_end(world):
    return ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """One kind of runs.

    Attributes:
        draw: Returns the faults of a seed, for so many seconds.
        injector: Class of what injects them.
        clients: Returns the clients for a world, a seed and a clock.
        world: Makes a world whose gateways lack the safeguard of a name, or none.
        prepare: Changes a world before it starts, by a seed.
        gateways: Number of gateways.
        is_alone: Tells whether a seed has one gateway only.
        servers: Numbers of servers that differ from the usual ones.
        alone_servers: The same for runs with one gateway; None for the same numbers.
        check: Returns more violations for attempts, servers, injector and margin.
        check_end: Returns violations that a world shows before it is stopped.
    """

    draw: collections.abc.Callable
    injector: type = soak_faults.FaultInjector
    clients: collections.abc.Callable = _clients
    world: collections.abc.Callable = _world
    prepare: collections.abc.Callable = _unprepared
    gateways: int = GATEWAYS
    is_alone: collections.abc.Callable = _never
    servers: dict = dataclasses.field(default_factory=dict)
    alone_servers: dict | None = None
    check: collections.abc.Callable = _unchecked
    check_end: collections.abc.Callable = _unchecked_at_end

    def gateway_count(self, seed):
        """Return the number of gateways of a run."""
        return 1 if self.is_alone(seed) else self.gateways

    def server_counts(self, seed):
        """Return the numbers of servers of a run that differ from the usual ones."""
        if self.alone_servers is None or not self.is_alone(seed):
            return self.servers
        return self.alone_servers


STANDARD = Kind(draw=_draw)
# By the name of the command's flag.
KINDS = {
    "silence": Kind(draw=_draw_silence, is_alone=_every_other),
    "pauses": Kind(
        draw=soak_pauses.draw,
        injector=soak_pauses.PauseInjector,
        clients=soak_pauses.clients,
        prepare=soak_pauses.prepare,
        is_alone=_every_fourth,
    ),
    "outages": Kind(
        draw=soak_outages.draw,
        injector=soak_outages.OutageInjector,
        is_alone=_every_fourth,
        check=soak_outages.late_violations,
    ),
    "turned-away": Kind(
        draw=soak_outages.draw_turned_away,
        injector=soak_outages.OutageInjector,
        check=soak_outages.late_violations,
    ),
    "uneven": Kind(
        draw=soak_uneven.draw,
        injector=soak_uneven.UnevenInjector,
        clients=_uneven_clients,
        prepare=soak_uneven.prepare,
        gateways=soak_uneven.GATEWAYS,
        servers=soak_uneven.SERVERS,
        check=soak_uneven.avoidance_violations,
    ),
    "entries": Kind(
        draw=_draw_entries,
        injector=soak_entries.EntryInjector,
        prepare=soak_entries.prepare,
        gateways=soak_entries.GATEWAYS,
        is_alone=_every_fourth,
        check=soak_entries.late_violations,
        check_end=soak_entries.unconfirmed_violations,
    ),
    "paths": Kind(
        draw=soak_paths.draw,
        injector=soak_paths.PathInjector,
        world=_path_world,
        prepare=soak_paths.prepare,
        gateways=soak_paths.GATEWAYS,
        check=soak_paths.late_violations,
    ),
    "releases": Kind(
        draw=soak_releases.draw,
        injector=soak_releases.ReleaseInjector,
        clients=soak_releases.clients,
        world=_path_world,
        prepare=soak_releases.prepare,
        gateways=soak_releases.GATEWAYS,
        check=soak_releases.version_violations,
    ),
    "standstills": Kind(
        draw=soak_standstills.draw,
        injector=soak_standstills.StandstillInjector,
        clients=soak_standstills.clients,
        prepare=soak_standstills.prepare,
        gateways=soak_standstills.GATEWAYS,
        check=soak_standstills.limit_violations,
    ),
    "stops": Kind(
        draw=soak_stops.draw,
        injector=soak_stops.StopInjector,
        clients=soak_standstills.clients,
        world=_process_world,
        prepare=soak_stops.prepare,
        gateways=soak_stops.GATEWAYS,
        servers=soak_stops.SERVERS,
    ),
    "copies": Kind(
        draw=soak_copies.draw,
        injector=soak_copies.CopyInjector,
        clients=soak_copies.clients,
        prepare=soak_copies.prepare,
        gateways=soak_copies.GATEWAYS,
        is_alone=soak_copies.is_alone,
        servers=soak_copies.SERVERS,
        alone_servers=soak_copies.ALONE_SERVERS,
        check=soak_copies.missing_copies,
    ),
}
