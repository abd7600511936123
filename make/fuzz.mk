# Fuzzing with clang's libFuzzer under the address and undefined-behaviour sanitizers: make fuzz [RUNS=n] [TARGET=peer].
# New inputs that reach new code go to $(BUILD)/fuzz/corpus; seeds are kept under fuzz/seeds/.
FUZZ_CC      ?= clang
RUNS         ?= 20000
FUZZ_SEED    ?= 1
FUZZ_TARGETS := $(patsubst fuzz/fuzz_%.c,%,$(filter-out fuzz/fuzz_node.c fuzz/fuzz_peer_mutator.c,$(wildcard fuzz/fuzz_*.c)))
TARGET       ?= $(FUZZ_TARGETS)
FUZZ_FLAGS   := -g -O1 -fno-omit-frame-pointer -fsanitize=address,undefined -fno-sanitize-recover=all
FUZZ_PARTS   := $(CORE) $(CONFIG) src/adapters/caller_path.c src/adapters/header_rules.c src/daemon/peer_frame.c fuzz/fuzz_node.c
FUZZ_OBJECTS := $(patsubst %.c,$(BUILD)/fuzz/%.o,$(FUZZ_PARTS))

$(BUILD)/fuzz/proto/%.o: proto/%.c
	@mkdir -p $(@D)
	$(FUZZ_CC) $(FUZZ_FLAGS) $(CPPFLAGS) -std=gnu11 -w -fsanitize=fuzzer-no-link -c $< -o $@

$(BUILD)/fuzz/%.o: %.c
	@mkdir -p $(@D)
	$(FUZZ_CC) $(FUZZ_FLAGS) $(CPPFLAGS) $(STRICT) -fsanitize=fuzzer-no-link -MMD -MP -c $< -o $@

$(BUILD)/fuzz-peer: $(BUILD)/fuzz/fuzz/fuzz_peer_mutator.o
$(BUILD)/fuzz-%: $(BUILD)/fuzz/fuzz/fuzz_%.o $(FUZZ_OBJECTS)
	$(FUZZ_CC) $(FUZZ_FLAGS) -fsanitize=fuzzer -o $@ $^ $(LIBS)

# Writes the seeds of the peer target anew, after a change of the messages.
.PHONY: fuzz-seeds
fuzz-seeds: $(BUILD)/seed-peer
	@mkdir -p fuzz/seeds/peer
	$(BUILD)/seed-peer fuzz/seeds/peer

$(BUILD)/seed-peer: $(BUILD)/fuzz/seed_peer.o $(BUILD)/src/daemon/peer_frame.o $(CORE_LIB)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS)

fuzz: $(addprefix $(BUILD)/fuzz-,$(FUZZ_TARGETS))
	@for target in $(TARGET); do \
	    mkdir -p $(BUILD)/fuzz/corpus/$$target fuzz/seeds/$$target; \
	    echo "fuzz $$target: $(RUNS) runs"; \
	    $(BUILD)/fuzz-$$target -runs=$(RUNS) -seed=$(FUZZ_SEED) -max_len=4096 -len_control=0 -timeout=20 -rss_limit_mb=2048 -print_final_stats=1 \
	        -artifact_prefix=$(BUILD)/fuzz/ $(BUILD)/fuzz/corpus/$$target fuzz/seeds/$$target \
	        >$(BUILD)/fuzz/$$target.log 2>&1 || { tail -60 $(BUILD)/fuzz/$$target.log; exit 1; }; \
	    grep -E '^Done|stat::(number_of|average)' $(BUILD)/fuzz/$$target.log; \
	done
