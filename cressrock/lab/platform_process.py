"""Runs one dispatcher of the platform as a process of its own, for drills on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

START_LIMIT_S = 60.0
EXIT_LIMIT_S = 10.0
START_POLL_S = 0.05


class PlatformProcess:
    """One dispatcher's process; it listens at `address` once `start` has returned."""

    def __init__(self, folder: Path, command: list[str] | None = None, root: Path | None = None) -> None:
        """`folder` takes its configuration and log.

        `command` starts the dispatcher in the folder `root`; by default, it is this code.
        """
        self.folder = folder
        self.command = command or [sys.executable, "-m", "cressrock", "platform"]
        self.root = root or Path(__file__).resolve().parents[2]
        self.address = ("", 0)
        self.process: asyncio.subprocess.Process | None = None

    @property
    def started(self) -> asyncio.subprocess.Process:
        """Return the process.  Raises RuntimeError before `start`."""
        if self.process is None:
            raise RuntimeError("the dispatcher has not been started: call start() first")
        return self.process

    async def start(self, config: dict[str, Any]) -> None:
        """Start with this configuration; wait until it serves.  Raises RuntimeError, TimeoutError."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        environment = os.environ | {"LB_CONFIG": str(path), "PYTHONUNBUFFERED": "1"}
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=self.root, env=environment, stdout=log, stderr=log
            )
        async with asyncio.timeout(START_LIMIT_S):
            while "serving at" not in (text := self.log()):
                if self.process.returncode is not None:
                    raise RuntimeError(f"the dispatcher did not start: {text}")
                await asyncio.sleep(START_POLL_S)
        host, _, port = text.split("serving at ")[1].split()[0].rpartition(":")
        self.address = (host, int(port))

    async def end(self, *, is_ending: bool = False) -> int | None:
        """Kill the process, or wait for its end if `is_ending`; return the exit code, if it was started."""
        process = self.process
        if process is None:
            return None
        if process.returncode is None and not is_ending:
            process.kill()
        try:
            async with asyncio.timeout(EXIT_LIMIT_S):
                return await process.wait()
        except TimeoutError:
            process.kill()
            return await process.wait()

    def log(self) -> str:
        """Return what it has logged."""
        return (self.folder / "log").read_text(errors="replace")
