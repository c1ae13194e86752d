"""Immutable records that every other package imports; imports nothing of
ours.
"""
