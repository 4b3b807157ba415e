"""Real control processes and runs of fulmarseam-ctl for tests."""

from collections.abc import Sequence
import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import Self

from tests import control_fixtures as fixtures

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0
COMMAND_TIMEOUT_S = 60.0


class ControlGroup:
    """A group of control processes on loopback; a context manager."""

    def __init__(self, count: int, **fields: object) -> None:
        self._stack = contextlib.ExitStack()
        self.directory = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.addresses: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        for content in fixtures.make_group_settings(
            str(self.directory), count, **fields
        ):
            options = fixtures.parse_control_settings(content)
            self.addresses[options.member_id] = options.listen
            self.config_path(options.member_id).write_text(content)
        self.write_ctl(list(self.addresses))

    def __enter__(self) -> Self:
        for member in self.addresses:
            self.start(member)
        self.wait_for_leader()
        return self

    def __exit__(self, *exc_info: object) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        self._stack.close()

    def config_path(self, member: str) -> pathlib.Path:
        return self.directory / f'{member}.yaml'

    def write_ctl(self, members: Sequence[str]) -> None:
        """Write settings for fulmarseam-ctl that list only some members."""
        lines = [
            f"  {member}: '{self.addresses[member]}'" for member in members
        ]
        (self.directory / 'ctl.yaml').write_text(
            'control:\n' + '\n'.join(lines) + '\n'
        )

    def start(self, member: str) -> None:
        log = (self.directory / f'{member}.log').open('ab')
        with log:
            self.processes[member] = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'fulmarseam.commands',
                    'control',
                    f'--config={self.config_path(member)}',
                ],
                stderr=log,
            )

    def stop(self, member: str) -> int:
        """Stop a member gracefully and return its exit code."""
        process = self.processes.pop(member)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def kill(self, member: str) -> None:
        process = self.processes.pop(member)
        process.kill()
        process.wait()

    def wait_for_leader(self) -> str:
        """Return the leader as soon as one has a valid leadership age."""
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            done = self.ctl('status', '--format=json')
            if done.returncode == 0:
                for row in json.loads(done.stdout):
                    if row['state'] == 'leader':
                        return str(row['member'])
        logs = [
            path.read_text() for path in sorted(self.directory.glob('*.log'))
        ]
        raise AssertionError('no leader: ' + '\n'.join(logs))

    def ctl(
        self, *arguments: str, config: str = 'ctl.yaml'
    ) -> subprocess.CompletedProcess[str]:
        """Run fulmarseam-ctl with the given arguments."""
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'fulmarseam.commands',
                'ctl',
                f'--config={self.directory / config}',
                *arguments,
            ],
            capture_output=True,
            check=False,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )

    def read(self, *arguments: str) -> Any:
        """Return the JSON output of a command that must succeed."""
        done = self.ctl(*arguments, '--format=json')
        if done.returncode:
            raise AssertionError(done.stderr)
        return json.loads(done.stdout)

    def write(self, name: str, content: str) -> str:
        path = self.directory / name
        path.write_text(content)
        return str(path)
