"""The dependence between packages that docs/architecture.md states is the one that the imports show."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest
from sourcetrees import parse_source

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "architecture.md"
RIGS = {"bench", "demo", "emulator", "standins"}  # test rigs: nothing that runs in service imports them
ENTRY_POINTS = {"__main__", "cli"}  # start rigs by command, and import them only then

MODULES = {
    ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
    for path in sorted((ROOT / "lugspur").rglob("*.py"))
}


def imported_modules(tree: ast.AST, *, at_start: bool) -> Iterator[str]:
    """Yield the modules of the project that a module imports; `at_start`: only those it imports when it is loaded."""
    for node in ast.iter_child_nodes(tree):
        if at_start and isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            continue
        if isinstance(node, ast.ImportFrom) and (node.module or "").split(".")[0] == "lugspur":
            for name in node.names:
                module = f"{node.module}.{name.name}"
                yield module if module in MODULES else str(node.module)
        elif isinstance(node, ast.Import):
            yield from (name.name for name in node.names if name.name in MODULES)
        else:
            yield from imported_modules(node, at_start=at_start)


def stated_dependence() -> dict[str, set[str]]:
    """Return the table of the page: for each package, the packages that it imports."""
    rows = re.findall(r"^\| `([\w/]+)` \| ((?:`[\w/]+`(?:, )?)+|nothing) \|$", PAGE.read_text(), re.MULTILINE)
    return {package: set(re.findall(r"`([\w/]+)`", imported)) for package, imported in rows}


def package_of(module: str, packages: set[str]) -> str:
    """Return the innermost package of the table that a module lies in."""
    path = module.removeprefix("lugspur").lstrip(".").replace(".", "/")
    while path and path not in packages:
        path = path.rpartition("/")[0]
    return path


def shown_dependence(packages: set[str]) -> dict[str, set[str]]:
    """Return what the imports show, in the form of the table."""
    found: dict[str, set[str]] = {package: set() for package in packages}
    for module, path in MODULES.items():
        if module == "lugspur":
            continue
        package = package_of(module, packages)
        assert package, f"{module} lies in no package of the table"
        for imported in imported_modules(parse_source(path), at_start=False):
            if imported != "lugspur":
                found[package].add(package_of(imported, packages))
    return {package: imported - {package} for package, imported in found.items()}


def test_packages_import_what_the_page_says_and_nothing_else() -> None:
    stated = stated_dependence()
    assert shown_dependence(set(stated)) == stated


def test_nothing_that_runs_in_service_imports_a_rig() -> None:
    shown = shown_dependence(set(stated_dependence()))
    assert {package for package, imported in shown.items() if imported & RIGS} <= RIGS | ENTRY_POINTS


@pytest.mark.parametrize("decisions", ["load_balancing", "mesh/control", "routing"])
def test_decisions_do_no_io(decisions: str) -> None:
    for module, path in MODULES.items():
        if module.startswith(f"lugspur.{decisions.replace('/', '.')}.") and not module.endswith(".adapter"):
            imported = {name.split(".")[0] for name in re.findall(r"^(?:from|import) (\S+)", path.read_text(), re.M)}
            assert not imported & {"asyncio", "selectors", "socket", "subprocess", "threading"}, module


def test_no_module_imports_itself_by_way_of_others() -> None:
    graph = {
        module: set(imported_modules(parse_source(path), at_start=True)) - {module} for module, path in MODULES.items()
    }
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        pytest.fail(" -> ".join(error.args[1]))
