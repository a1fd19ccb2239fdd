"""Stateful property test of the ownership of a zone's targets.

Each rule injects a fault, repairs one, requests a change or advances the
time.  The simulation checks after every message that no target has two
owners, and at every dispatch that no partition runs on two targets.  It also
checks that versions of the zone's record and fences only increase.
"""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from zone_schedules import heal
from zone_simulation import PARTITIONS, TARGETS, ZoneSimulation

VMS = ('vm0', 'vm1', 'vm2', 'vm3', 'vm4')
"""Names of the entry VMs; a zone starts with the first three to five."""
VM = st.sampled_from(VMS)
DURATION = st.sampled_from((0.05, 0.2, 0.6, 1.2, 2.5))
"""Periods by which the time advances, in seconds."""
EXTRA_DELAY = st.sampled_from((0.1, 0.4, 1.0, 2.5))
"""Additional latencies of a link in one direction, in seconds."""


class OwnershipMachine(RuleBasedStateMachine):
    """Zone whose entry VMs, links and platform fail."""

    zone: ZoneSimulation

    @initialize(size=st.integers(3, 5), seed=st.integers(0, 2**16))
    def start(self, size: int, seed: int) -> None:
        """Start a zone and run it for 2 s."""
        self.zone = ZoneSimulation(size, seed)
        self.zone.run(2)

    @rule(duration=DURATION)
    def let_time_pass(self, duration: float) -> None:
        """Advance the simulated time."""
        self.zone.run(duration)

    @rule(one=VM, other=VM)
    def cut(self, one: str, other: str) -> None:
        """Drop all messages between two VMs."""
        if one != other:
            self.zone.cut_links.add(frozenset((one, other)))

    @rule(one=VM, other=VM, late=EXTRA_DELAY)
    def slow_down(self, one: str, other: str, late: float) -> None:
        """Delay the messages from one VM to another."""
        if one != other:
            self.zone.extra_delays[one, other] = late

    @rule(loss=st.sampled_from((0, 0.1, 0.4)))
    def lose_messages(self, loss: float) -> None:
        """Drop messages between VMs with a given probability."""
        self.zone.loss_rate = loss

    @rule(vm=VM)
    def pause_or_resume(self, vm: str) -> None:
        """Freeze a process, or resume it if it is frozen."""
        node = self.zone.nodes.get(vm)
        if node is not None and node.paused:
            self.zone.resume(vm)
        elif node is not None:
            self.zone.pause(vm)

    @rule(vm=VM)
    def crash_or_restart(self, vm: str) -> None:
        """Crash a process, or start a new incarnation if none runs."""
        if vm in self.zone.nodes:
            self.zone.crash(vm)
        else:
            self.zone.restart(vm)

    @precondition(lambda self: len(self.zone.vms) > 2)
    @rule(vm=VM)
    def remove(self, vm: str) -> None:
        """Crash a VM's process and remove the VM from the VM list."""
        if vm in self.zone.vms:
            self.zone.remove_vm(vm)

    @rule(vm=VM)
    def leave(self, vm: str) -> None:
        """Start the planned leave of a process."""
        node = self.zone.nodes.get(vm)
        if node is not None:
            node.zone_node.leave()

    @rule(down=st.booleans(), lost=st.booleans())
    def fail_platform(self, *, down: bool, lost: bool) -> None:
        """Set whether the platform is down and whether it loses answers."""
        self.zone.platform.is_down = down
        self.zone.platform.lose_answers = lost

    @rule(
        partition=st.integers(0, PARTITIONS - 1),
        owner=st.sampled_from(TARGETS),
    )
    def move(self, partition: int, owner: str) -> None:
        """Request the move of a partition to a target."""
        self.zone.request_move(partition, owner)

    @rule()
    def end_all_faults(self) -> None:
        """End all faults and let the zone recover for 3 s."""
        heal(self.zone)
        self.zone.run(3)

    @invariant()
    def one_owner(self) -> None:
        """No two running nodes may dispatch to the same target.

        Guards against leases that overlap after a takeover, a pause or a
        late message.
        """
        if hasattr(self, 'zone'):
            self.zone.check_ownership()

    @invariant()
    def acknowledged_records_are_kept(self) -> None:
        """The platform has every record that it confirmed.

        Guards against a write that is reported as successful although
        another record was written in its place.
        """
        if hasattr(self, 'zone'):
            platform = self.zone.platform
            for record in platform.acknowledged[-3:]:
                assert record in platform.history


TestOwnership: Any = OwnershipMachine.TestCase
TestOwnership.settings = settings(max_examples=60, stateful_step_count=30)
