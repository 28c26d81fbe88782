# make demo: sets up and runs the main job.  make test: sets up and tests.  Needs python3 and make alone.
PY = .venv-gateway/bin/python
.PHONY: demo test lint setup serve fuzz
setup: $(PY)
$(PY): pyproject.toml constraints.txt
	python3 -m venv .venv-gateway
	$(PY) -m pip install -q -r requirements-dev.txt
	touch $(PY)
demo: $(PY)
	$(PY) -m cressrock lab day bad --seed 1 --trace demo-trace.parquet
	$(PY) -m cressrock lab day bad --seed 1 --dispatchers 4 --planners 1 --only planners
test: $(PY)
	$(PY) -m pytest -q
lint: $(PY)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy
	.venv-gateway/bin/lint-imports
serve: $(PY)
	$(PY) -m cressrock lab serve
fuzz: $(PY)
	$(PY) -m cressrock lab fuzz --seconds 60
