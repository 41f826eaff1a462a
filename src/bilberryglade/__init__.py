"""Router for servers that own keys exclusively.

This is the index of the library; the modules behind it are private.
"""
