"""Stand-ins, with fault injection, for systems outside this project."""
