"""The protocol between edge and planner: messages, frames, and the state machine of each side."""
