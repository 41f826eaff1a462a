"""What the HTTP clients of an instance share."""
