"""The ledger of open operations, and the driver that connects the scheduler to clients and storage nodes."""
