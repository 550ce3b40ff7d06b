"""What the leader keeps and decides for entries that route to services."""
