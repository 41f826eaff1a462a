"""The rules file: one rule a line, each with a comment that names who asked."""
