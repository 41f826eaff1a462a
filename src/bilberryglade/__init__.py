"""Router for servers that own keys exclusively.

Whoever embeds an instance reads its settings by `_instance.config` and runs
`_instance.node.Node`. Whoever writes another front end for operators
calls the functions registered in `_operations.operations`. Every other module
is private to the package.
"""
