"""Hedging: when a late call is sent to a second upstream."""
