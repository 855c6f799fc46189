"""Tests that the example in docs/embedding.md runs unchanged and prints what it should."""

import re
from pathlib import Path


def test_the_documented_example_runs(capsys) -> None:  # type: ignore[no-untyped-def]
    text = (Path(__file__).parent.parent / "docs" / "embedding.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(example, "embedding.md", "exec"), {})
    printed = capsys.readouterr().out.splitlines()
    assert printed[0] == "subscribe to the node list"
    offers = [line for line in printed if line.startswith("offer task 1 to node ")]
    assert len(offers) == 2 and offers[0] != offers[1]
    assert not [line for line in printed if line.startswith("answer")]
