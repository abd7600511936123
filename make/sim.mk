# Longer runs of the simulator: make soak SEEDS=n [FIRST=n] [SOAK_FLAGS=--rough]
SEEDS      ?= 1000
FIRST      ?= 1
SOAK_FLAGS ?=

soak: $(BUILD)/cw-simulate
	$(BUILD)/cw-simulate --seed $(FIRST) --seeds $(SEEDS) --quiet $(SOAK_FLAGS)
	$(BUILD)/cw-simulate --seed $(FIRST) --seeds $(SEEDS) --quiet --rough $(SOAK_FLAGS)
