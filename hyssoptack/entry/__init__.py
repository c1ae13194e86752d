"""The entry daemon: caller and operator ports, coordinators, executor."""
