"""Real processes of the programs, started and ended by their ids."""

from collections.abc import Iterable
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# Below the usual range of ports that the system gives to outgoing
# connections, so that a restarted process finds its port free.
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000
STOP_TIMEOUT_S = 15.0

_ports_given: set[int] = set()


def find_free_address() -> str:
    """Return a loopback address that is free and was not given before."""
    while True:
        port = random.SystemRandom().randrange(LOWEST_PORT, HIGHEST_PORT)
        if port in _ports_given:
            continue
        _ports_given.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return f'127.0.0.1:{port}'


class Process:
    """One program with its settings, started as often as needed."""

    def __init__(
        self, program: str, name: str, options: object, folder: pathlib.Path
    ) -> None:
        self.name = name
        self._program = program
        self._config = folder / f'{name}.yaml'
        self._output = folder / f'{name}.log'
        self._config.write_text(yaml.safe_dump(options), encoding='utf-8')
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int | None:
        """Return the process id while the process runs."""
        if self._child is None or self._child.poll() is not None:
            return None
        return self._child.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code once the process has ended."""
        return self._child.poll() if self._child else None

    def start(self) -> None:
        """Start the process, which must not be running."""
        assert self.pid is None, f'{self.name} is running'
        command = [
            sys.executable,
            '-m',
            'fulmarseam.commands',
            self._program,
            f'--config={self._config}',
        ]
        with open(self._output, 'ab') as output:
            self._child = subprocess.Popen(
                command, cwd=ROOT, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.pid is not None and self._child is not None:
            self._child.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Stop the process without ending it."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def read_output(self) -> str:
        """Return what the process wrote to its output."""
        return self._output.read_text(encoding='utf-8', errors='replace')


def end_processes(processes: Iterable[Process]) -> None:
    """End all the processes at once, frozen ones too."""
    started = list(processes)
    for process in started:
        process.signal(signal.SIGKILL)
    for process in started:
        process.kill()


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')
