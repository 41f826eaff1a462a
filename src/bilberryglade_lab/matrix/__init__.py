"""The fault matrix: every fault at every declared step of a protocol."""
