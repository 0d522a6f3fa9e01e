"""Guards against two tests that listen on the same addresses at the same time."""

import pathlib
import re

import addressblocks

FOLDER = pathlib.Path(__file__).parent


def test_blocks_are_distinct_and_within_bounds():
    blocks = [
        addressblocks.find_block(user, number)
        for user, count in addressblocks.COUNT_BY_USER.items()
        for number in range(count)
    ]
    assert len(set(blocks)) == len(blocks)
    assert min(blocks) == addressblocks.FIRST_BLOCK
    assert max(blocks) <= addressblocks.LAST_BLOCK


def test_each_module_uses_its_own_blocks_only():
    users = []
    for path in FOLDER.glob("*.py"):
        if path.name in ("addressblocks.py", "test_addressblocks.py"):
            continue
        text = path.read_text()
        found = set(re.findall(r'find_block\(\s*"(\w+)"', text))
        assert found <= {path.stem}, path
        assert not re.search(r"127\.[1-9]|BLOCK = [0-9]", text), path
        users += found
    assert sorted(users) == sorted(addressblocks.COUNT_BY_USER)
