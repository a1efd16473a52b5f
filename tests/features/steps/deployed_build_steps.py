import subprocess
import sys
import tempfile

import behave

PYTHON_VERSION = "3.11"
# Versions of the C library that the wheels of pinned libraries ask for.
PLATFORMS = ("manylinux2014", "manylinux_2_17", "manylinux_2_28")


@behave.when('the libraries of "{lock}" are fetched for {machine}')
def fetch_libraries(context, lock, machine):
    platforms = [f"--platform={tag}_{machine}" for tag in PLATFORMS]
    with tempfile.TemporaryDirectory() as folder:
        context.fetched = subprocess.run(
            [sys.executable, "-m", "pip", "download", "--quiet", "--no-deps"]
            + ["--only-binary=:all:", "--require-hashes", "--implementation=cp"]
            + [f"--python-version={PYTHON_VERSION}", f"--dest={folder}"]
            + [f"--requirement={lock}", *platforms],
            capture_output=True,
            text=True,
            check=False,
        )


@behave.then("each has a file whose hash is listed")
def every_file_fits(context):
    assert context.fetched.returncode == 0, context.fetched.stderr
