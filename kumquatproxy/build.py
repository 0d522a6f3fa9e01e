"""Identity of the code that a process runs."""

import hashlib
import pathlib

DIGEST_LENGTH = 12


def digest() -> str:
    """Return a digest of the package's source files.

    Logs name it, as builds with the same version number run side by side.
    """
    content = hashlib.sha256()
    folder = pathlib.Path(__file__).parent
    for path in sorted(folder.rglob("*.py")):
        content.update(str(path.relative_to(folder)).encode())
        content.update(path.read_bytes())
    return content.hexdigest()[:DIGEST_LENGTH]
