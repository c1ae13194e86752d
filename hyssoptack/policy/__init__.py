"""Decisions as pure functions and small state holders: no sockets, no clock, no
threads.
"""
