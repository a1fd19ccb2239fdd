"""Room of targets, shared by all entry VMs through one keeper a group."""
