"""Starts and ends the programs as child processes."""

from collections.abc import Iterable
import os
import pathlib
import signal
import subprocess
import sys

import yaml

from fulmarseam.bench import _ports

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
STOP_TIMEOUT_S = 15.0

find_free_address = _ports.find_free_address


class Process:
    """A program with its settings, which can be started repeatedly."""

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
        """Return the process id, or `None` if the process does not run."""
        if self._child is None or self._child.poll() is not None:
            return None
        return self._child.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or `None` before the process has exited."""
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
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self.signal(signal.SIGCONT)

    def read_output(self) -> str:
        """Return the standard output and error of all starts."""
        return self._output.read_text(encoding='utf-8', errors='replace')


def end_processes(processes: Iterable[Process]) -> None:
    """Kill all processes, including paused ones, and wait for their exit.

    All are signalled before the first wait.
    """
    signalled = list(processes)
    for process in signalled:
        process.signal(signal.SIGKILL)
    for process in signalled:
        process.kill()


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')
