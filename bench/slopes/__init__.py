"""Slopes: costs at several sizes, each with a fitted line and its error."""
