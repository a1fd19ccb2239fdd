"""Entry VMs that send requests directly to targets that check fences."""
