"""Decision logic, free of sockets, clocks and threads."""
