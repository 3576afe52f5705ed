"""The one file that ships: it starts a node, and no process besides."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins.fleet import Fleet, FleetConfig

ROOT = Path(__file__).parents[3]
SHIPPED = ROOT / "dist" / "celeryrun"
WATCH = """
import os, sys
STARTS = ("subprocess.Popen", "os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system")
def hook(event, arguments):
    if event in STARTS:
        descriptor = os.open(os.environ["STARTS_FILE"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        os.write(descriptor, event.encode() + b"\\n")
        os.close(descriptor)
sys.addaudithook(hook)
"""


@pytest.fixture(scope="module")
def shipped():
    newest = max(path.stat().st_mtime for path in (ROOT / "celeryrun").rglob("*.py"))
    if not SHIPPED.exists() or SHIPPED.stat().st_mtime < newest:
        command = ["make", "build", f"VENV={sys.prefix}"]
        subprocess.run(command, cwd=ROOT, check=True, capture_output=True)
    return SHIPPED


class ShippedFleet(Fleet):
    """A fleet whose nodes run from the shipped file, with every start of a process noted."""

    def __init__(self, folder, shipped):
        super().__init__(FleetConfig(nodes=1, engines=1, applications=0))
        self.unpacked, self.shipped, self.starts = folder / "memory", shipped, folder / "starts"
        (folder / "sitecustomize.py").write_text(WATCH)
        self.environment = {
            "SHIV_ROOT": str(self.unpacked),
            "STARTS_FILE": str(self.starts),
            "PYTHONPATH": str(folder),
        }

    def start_process(self, name, command):
        if "celeryrun" not in command:
            super().start_process(name, command)
            return
        arguments = command[command.index("celeryrun") + 1 :]
        with open(self.folder / f"{name}.log", "ab") as output:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, str(self.shipped), *arguments],
                stdout=output,
                stderr=output,
                cwd=self.folder,
                env={**os.environ, **self.environment},
            )


def test_shipped_file_starts_a_node_and_no_other_process(shipped, tmp_path):
    with ShippedFleet(tmp_path, shipped) as fleet:
        node = fleet.nodes[0]
        body = {"prompt": "x", "max_tokens": 1}
        answer = fleet.request(node, "routes", "POST", "/drafts/v1/generate", body)
        assert answer.status == 200
        pid = fleet.process_by_name[node].pid
        assert "celeryrun" in Path(f"/proc/{pid}/cmdline").read_text()
        assert children_of(pid) == []
        fleet.send_signal(node, signal.SIGTERM)
        assert fleet.process_by_name[node].wait(20) == 0
        assert not fleet.starts.exists()
        assert list(fleet.unpacked.glob("celeryrun_*/site-packages/celeryrun/__init__.py"))


def test_watch_notices_a_start(tmp_path):
    (tmp_path / "sitecustomize.py").write_text(WATCH)
    starts = tmp_path / "starts"
    environment = {**os.environ, "STARTS_FILE": str(starts), "PYTHONPATH": str(tmp_path)}
    program = "import subprocess; subprocess.run(['true'])"
    subprocess.run([sys.executable, "-c", program], env=environment, check=True)
    assert "subprocess.Popen" in starts.read_text()


def children_of(pid):
    return [path for path in Path("/proc").glob("[0-9]*/stat") if parent_of(path) == pid]


def parent_of(stat):
    try:
        return int(stat.read_text().rpartition(")")[2].split()[1])
    except (FileNotFoundError, ProcessLookupError):
        return None
