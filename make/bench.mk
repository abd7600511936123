# Benchmarks with regression bounds: see docs/MEASUREMENTS.md. One scenario only: make bench SCENARIOS=latency
.PHONY: bench
SCENARIOS ?=
bench:
	@scripts/dependencies.sh bench
	@$(MAKE) -s -j4 programs
	@scripts/bench.sh $(SCENARIOS)
	@$(if $(SCENARIOS),true,$(MAKE) -s bench-placement)
