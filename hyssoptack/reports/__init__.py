"""Reports for operators, from log files and the instances' status pages."""
