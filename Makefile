# Every target sets the workspace up from nothing first: Python 3.11 with venv and pip is enough.
PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/.installed
CODE := packages platform standins tests bench soak

.PHONY: setup demo test check bench format proto lock

setup: $(STAMP)

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml \
		standins/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install -q --require-hashes -r requirements.lock
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation --no-index \
		$(foreach p,$(wildcard packages/*) platform standins,-e ./$(p))
	touch $(STAMP)

demo: $(STAMP)
	@$(BIN)/python -m bench.demo

test: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/black --check -q $(CODE)
	$(BIN)/ruff check -q $(CODE)
	$(BIN)/lint-imports --no-cache
	PYTHONHASHSEED=0 $(BIN)/python -m pytest

bench: $(STAMP)
	@$(BIN)/python -m bench.run

format: $(STAMP)
	$(BIN)/black -q $(CODE)
	$(BIN)/ruff check -q --fix $(CODE)
