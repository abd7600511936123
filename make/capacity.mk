# Measures how each role grows and renews the generated parts of docs/CAPACITY.md. About five minutes.
.PHONY: capacity
CAPACITY_FLAGS ?=
capacity: $(BUILD)/cw-capacity
	$(BUILD)/cw-capacity --json $(BUILD)/capacity.json --page docs/CAPACITY.md $(CAPACITY_FLAGS) \
	    --run "\`make capacity\`, $$(date -u +%F), sources src $$(git rev-parse --short HEAD:src), tool $$(git rev-parse --short HEAD:bench/capacity)"
