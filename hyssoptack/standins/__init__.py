"""Small fault-injectable stand-ins of what is not ours."""
