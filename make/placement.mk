# Placement in a logical-time model: every scenario under every planner, bounds on the present one. Half a minute.
.PHONY: bench-placement placement-plots
PLACEMENT_FLAGS ?=
bench-placement: $(BUILD)/cw-placement
	$(BUILD)/cw-placement --bounds bench/placement/bounds.txt $(PLACEMENT_FLAGS)

placement-plots: $(BUILD)/cw-placement
	$(BUILD)/cw-placement --plots docs/plots
