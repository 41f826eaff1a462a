"""What an instance knows of the store, and how it learns it."""
