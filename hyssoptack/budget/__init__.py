"""Budgets for extra calls."""
