"""Messages, records and settings; generated code."""
