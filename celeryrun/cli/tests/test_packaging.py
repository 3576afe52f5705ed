"""The packaged executable file runs a node without starting other processes."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins.fleet import Fleet, FleetConfig

ROOT = Path(__file__).parents[3]
EXECUTABLE = ROOT / "dist" / "celeryrun"
AUDIT_HOOK = """
import os, sys
EVENTS = ("subprocess.Popen", "os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system")
def hook(event, arguments):
    if event in EVENTS:
        descriptor = os.open(os.environ["STARTS_FILE"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        os.write(descriptor, event.encode() + b"\\n")
        os.close(descriptor)
sys.addaudithook(hook)
"""


@pytest.fixture(scope="module")
def executable():
    newest_source = max(path.stat().st_mtime for path in (ROOT / "celeryrun").rglob("*.py"))
    if not EXECUTABLE.exists() or EXECUTABLE.stat().st_mtime < newest_source:
        command = ["make", "build", f"VENV={sys.prefix}"]
        subprocess.run(command, cwd=ROOT, check=True, capture_output=True)
    return EXECUTABLE


class PackagedFleet(Fleet):
    """Fleet whose nodes run from the packaged file and record each process that they start."""

    def __init__(self, folder, executable):
        super().__init__(FleetConfig(nodes=1, engines=1, applications=0))
        self.unpacked, self.executable, self.starts_path = (
            folder / "memory",
            executable,
            folder / "starts",
        )
        (folder / "sitecustomize.py").write_text(AUDIT_HOOK)
        self.environment = {
            "SHIV_ROOT": str(self.unpacked),
            "STARTS_FILE": str(self.starts_path),
            "PYTHONPATH": str(folder),
        }

    def start_process(self, name, command):
        if "celeryrun" not in command:
            super().start_process(name, command)
            return
        arguments = command[command.index("celeryrun") + 1 :]
        with open(self.folder / f"{name}.log", "ab") as output:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, str(self.executable), *arguments],
                stdout=output,
                stderr=output,
                cwd=self.folder,
                env={**os.environ, **self.environment},
            )


def test_packaged_file_runs_a_node_and_starts_no_process(executable, tmp_path):
    with PackagedFleet(tmp_path, executable) as fleet:
        node = fleet.nodes[0]
        body = {"prompt": "x", "max_tokens": 1}
        response = fleet.request(node, "routes", "POST", "/drafts/v1/generate", body)
        assert response.status == 200
        pid = fleet.process_by_name[node].pid
        assert "celeryrun" in Path(f"/proc/{pid}/cmdline").read_text()
        assert list_children(pid) == []
        fleet.send_signal(node, signal.SIGTERM)
        assert fleet.process_by_name[node].wait(20) == 0
        assert not fleet.starts_path.exists()
        assert list(fleet.unpacked.glob("celeryrun_*/site-packages/celeryrun/__init__.py"))


def test_audit_hook_records_a_process_start(tmp_path):
    (tmp_path / "sitecustomize.py").write_text(AUDIT_HOOK)
    starts_path = tmp_path / "starts"
    environment = {**os.environ, "STARTS_FILE": str(starts_path), "PYTHONPATH": str(tmp_path)}
    program = "import subprocess; subprocess.run(['true'])"
    subprocess.run([sys.executable, "-c", program], env=environment, check=True)
    assert "subprocess.Popen" in starts_path.read_text()


def list_children(pid):
    return [path for path in Path("/proc").glob("[0-9]*/stat") if read_parent(path) == pid]


def read_parent(stat_path):
    try:
        return int(stat_path.read_text().rpartition(")")[2].split()[1])
    except (FileNotFoundError, ProcessLookupError):
        return None
