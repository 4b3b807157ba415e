"""Starts the example deployments as they are shipped."""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
import unittest

from fulmarseam.bench import _processes

ROOT = _processes.ROOT
START_TIMEOUT_S = 20.0
COMMAND_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0


class ExampleTest(unittest.TestCase):
    """Guards against shipped settings and tables that do not start."""

    def setUp(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='fulmarseam-'))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        self.children: list[subprocess.Popen[bytes]] = []
        self.addCleanup(self.end_children)

    def end_children(self) -> None:
        for child in self.children:
            child.kill()
        for child in self.children:
            child.wait(STOP_TIMEOUT_S)

    def start(self, program: str, path: pathlib.Path) -> None:
        with open(self.folder / f'{path.stem}.log', 'ab') as log:
            child = subprocess.Popen(
                self.command(program, path),
                cwd=self.folder,
                env=self.environment(),
                stdout=log,
                stderr=log,
            )
        self.children.append(child)

    def command(self, program: str, path: pathlib.Path) -> list[str]:
        module = 'fulmarseam.commands'
        return [sys.executable, '-m', module, program, f'--config={path}']

    def environment(self) -> dict[str, str]:
        return {'PYTHONPATH': str(ROOT)}

    def ctl(
        self, deployment: pathlib.Path, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [*self.command('ctl', deployment / 'ctl.yaml'), *arguments],
            cwd=self.folder,
            env=self.environment(),
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )

    def check_deployment(self, name: str) -> None:
        deployment = ROOT / 'examples' / name
        for path in sorted(deployment.glob('control-*.yaml')):
            self.start('control', path)
        for path in sorted(deployment.glob('entry-*.yaml')):
            self.start('entry', path)
        end = time.monotonic() + START_TIMEOUT_S
        tables = str(deployment / 'tables.yaml')
        while True:
            done = self.ctl(deployment, 'apply', tables, '--wait')
            if not done.returncode or time.monotonic() > end:
                break
        self.assertEqual(0, done.returncode, done.stderr)
        listed = self.ctl(deployment, 'entries', 'list').stdout
        for number in range(1, 8):
            self.assertIn(f'entry-{number}', listed)
        self.assertTrue(all(child.poll() is None for child in self.children))

    def test_landesmoebeldienst_starts(self) -> None:
        self.check_deployment('landesmoebeldienst')

    def test_tabua_starts(self) -> None:
        self.check_deployment('tabua')
