"""The edge: guarantees each client exactly one final answer and executes the planner's grants."""
