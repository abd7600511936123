# Measures how each role grows and renews the generated parts of docs/CAPACITY.md. About three minutes.
.PHONY: capacity
CAPACITY_FLAGS ?=
capacity: $(BUILD)/cw-capacity
	$(BUILD)/cw-capacity --json $(BUILD)/capacity.json --page docs/CAPACITY.md $(CAPACITY_FLAGS) \
	    --run "\`make capacity\` at $$(git describe --always --dirty 2>/dev/null || echo 'no commit'), $$(date -u +%F)"
