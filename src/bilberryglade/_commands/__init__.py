"""The command line: each command is a registered function."""
