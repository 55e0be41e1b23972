"""`python -m lugspur.bench.days FOLDER`: write random days as files that the operators' bench can play."""

from pathlib import Path

from cyclopts import App

from lugspur.bench.days.drawing import draw_day, write_day

app = App(help=__doc__)


@app.default
def draw(folder: Path, *, seeds: int = 10, first: int = 1) -> None:
    """Write one file for each of `seeds` seeds, starting with `first`."""
    folder.mkdir(parents=True, exist_ok=True)
    for seed in range(first, first + seeds):
        day = draw_day(seed)
        (folder / f"{day.name}.toml").write_text(write_day(day))


if __name__ == "__main__":
    app()
