"""Random fault schedules for a simulated zone.

To run many seeds by hand, give the first seed and their number::

    python tests/zone_schedules.py 0 4000
"""

from __future__ import annotations

import sys

from zone_simulation import PARTITIONS, TARGETS, Violation, ZoneSimulation

STEPS = 14
"""Number of faults, repairs and changes per schedule."""
SIZES = (3, 3, 4, 5)
"""Numbers of entry VMs of the zone, chosen in turn by the seed."""


def run_schedule(seed: int) -> ZoneSimulation:
    """Run one schedule.

    :param seed: Seed of all random choices.
    :return: Simulation in its final state, without repairs.
    :raises Violation: If an ownership invariant was violated.
    """
    simulation = ZoneSimulation(SIZES[seed % len(SIZES)], seed)
    simulation.run(simulation.random.uniform(0.5, 2))
    for _ in range(STEPS):
        simulation.random.choice(FAULTS)(simulation)
        simulation.run(simulation.random.choice((0.05, 0.3, 0.8, 2.5)))
    return simulation


def heal(simulation: ZoneSimulation) -> None:
    """End all faults, start crashed processes and resume frozen ones."""
    simulation.cut_links.clear()
    simulation.extra_delays.clear()
    simulation.loss_rate = 0
    simulation.delay_range = (0.0005, 0.003)
    simulation.platform.is_down = False
    simulation.platform.lose_answers = False
    for vm in simulation.vms:
        if vm not in simulation.nodes:
            simulation.restart(vm)
        elif simulation.nodes[vm].paused:
            simulation.resume(vm)


def _cut(simulation: ZoneSimulation) -> None:
    vms = sorted(simulation.vms)
    if len(vms) > 1:
        simulation.cut_links.add(frozenset(simulation.random.sample(vms, 2)))


def _isolate_vm(simulation: ZoneSimulation) -> None:
    vms = sorted(simulation.vms)
    isolated = simulation.random.choice(vms)
    simulation.cut_links.update(
        frozenset((isolated, other)) for other in vms if other != isolated
    )


def _reconnect(simulation: ZoneSimulation) -> None:
    simulation.cut_links.clear()
    simulation.extra_delays.clear()


def _pause(simulation: ZoneSimulation) -> None:
    vm = _pick_running(simulation)
    if vm is not None:
        simulation.pause(vm)


def _pause_coordinator(simulation: ZoneSimulation) -> None:
    vm = simulation.find_coordinator()
    if vm is not None and not simulation.nodes[vm].paused:
        simulation.pause(vm)


def _resume(simulation: ZoneSimulation) -> None:
    for vm, node in list(simulation.nodes.items()):
        if node.paused:
            simulation.resume(vm)


def _restart(simulation: ZoneSimulation) -> None:
    simulation.restart(simulation.random.choice(sorted(simulation.vms)))


def _crash(simulation: ZoneSimulation) -> None:
    vm = _pick_running(simulation)
    if vm is not None:
        simulation.crash(vm)


def _remove_vm(simulation: ZoneSimulation) -> None:
    if len(simulation.vms) > 2 and simulation.random.randrange(3) == 0:
        simulation.remove_vm(simulation.random.choice(sorted(simulation.vms)))


def _add_vm(simulation: ZoneSimulation) -> None:
    if len(simulation.vms) < 6:
        simulation.restart(f'new{simulation.random.randrange(1000)}')


def _leave(simulation: ZoneSimulation) -> None:
    vm = _pick_running(simulation)
    if vm is not None and simulation.random.randrange(2):
        simulation.nodes[vm].zone_node.leave()


def _toggle_platform(simulation: ZoneSimulation) -> None:
    simulation.platform.is_down = not simulation.platform.is_down


def _toggle_lost_answers(simulation: ZoneSimulation) -> None:
    platform = simulation.platform
    platform.lose_answers = not platform.lose_answers


def _slow_network(simulation: ZoneSimulation) -> None:
    simulation.delay_range = simulation.random.choice(
        ((0.0005, 0.003), (0.0005, 0.6), (0.001, 2.0))
    )


def _slow_link(simulation: ZoneSimulation) -> None:
    vms = sorted(simulation.vms)
    coordinator = simulation.find_coordinator() or vms[0]
    for vm in vms:
        if vm != coordinator and simulation.random.randrange(2):
            extra_delay = simulation.random.choice((0.3, 0.7, 1.5, 2.5))
            simulation.extra_delays[vm, coordinator] = extra_delay


def _lossy_network(simulation: ZoneSimulation) -> None:
    simulation.loss_rate = simulation.random.choice((0, 0.1, 0.4))


def _move_partition(simulation: ZoneSimulation) -> None:
    partition = simulation.random.randrange(PARTITIONS)
    simulation.request_move(partition, simulation.random.choice(TARGETS))


def _pick_running(simulation: ZoneSimulation) -> str | None:
    vms = simulation.running_vms()
    return simulation.random.choice(vms) if vms else None


FAULTS = (
    _cut,
    _cut,
    _isolate_vm,
    _reconnect,
    _reconnect,
    _pause,
    _pause_coordinator,
    _resume,
    _resume,
    _restart,
    _crash,
    _remove_vm,
    _add_vm,
    _leave,
    _toggle_platform,
    _toggle_lost_answers,
    _slow_network,
    _slow_link,
    _slow_link,
    _lossy_network,
    _move_partition,
    _move_partition,
    _move_partition,
    heal,
)
"""Actions of a schedule; an action that is listed several times is chosen
more often."""


def main(first: int, count: int) -> int:
    """Run consecutive seeds and print the violations.

    :param first: First seed.
    :param count: Number of seeds.
    :return: Number of seeds with a violation.
    """
    failed_seeds = []
    for seed in range(first, first + count):
        try:
            run_schedule(seed)
        except Violation as violation:
            failed_seeds.append(seed)
            print(f'seed {seed}: {violation}')
    print(f'{len(failed_seeds)} of {count} schedules violated an invariant')
    return len(failed_seeds)


if __name__ == '__main__':
    first_seed, seeds = (int(word) for word in sys.argv[1:])
    sys.exit(main(first_seed, seeds) > 0)
