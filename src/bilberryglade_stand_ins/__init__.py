"""Small processes that take the platform's and the targets' place in tests."""
