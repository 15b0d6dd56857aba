"""What tests share: processes on loopback and waits on conditions."""
