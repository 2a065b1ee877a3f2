"""The program plumvane-worker: owns batch jobs and runs their items."""
