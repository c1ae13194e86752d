"""State charts as YAML files, and the interpreter that the tasks run them
with.
"""
