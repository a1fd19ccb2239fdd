"""Entry VMs that send requests straight to targets which check fences."""
