"""What must always hold, over the real code and small fakes."""
