"""Decisions of the rate limits of teams across all instances.

Nothing here reads a clock, sends a message or logs. Tokens are created in
`bucket` only, at the rate of a failure domain's share of a limit; all other
code moves or removes them.
"""
