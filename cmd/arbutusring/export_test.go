package main

// Main calls main, for a test binary that runs as the command.
func Main() { main() }
