"""What later versions must not change: recorded bytes, files, interfaces and decisions of version 31fc3d8."""
