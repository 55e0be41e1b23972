"""Measurements, as ratios within one run: `lugspur bench`."""
