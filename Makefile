# cedarwinch: see README.md. Main targets: demo, check, bench, spec, soak, fault-soak, stall-soak, paths-soak, owners-soak,
# orders-soak, answers-soak, fuzz, install.
BUILD    ?= build
CC       ?= cc
CFLAGS   ?= -O2 -g
STRICT   := -std=gnu11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -D_GNU_SOURCE
CPPFLAGS += -Isrc -Iproto -Iplatform -Isim -Itests -Istandins/store
LIBS     := -luv -lhttp_parser -lyaml -ljansson -lxxhash -lprotobuf-c -largtable2 -lnettle -lm
PREFIX   ?= /usr/local
DESTDIR  ?=

objects = $(patsubst %.c,$(BUILD)/%.o,$(1))

# One folder a subject; see README.md. main files are no part of the library.
SUBJECTS := base net model config intent lease assignment placement balance retry routing tenancy proxy peer
CORE     := $(wildcard $(addprefix src/,$(addsuffix /*.c,$(SUBJECTS)))) proto/peer.pb-c.c
ROUTER   := $(filter-out %/main.c,$(wildcard src/router/*.c))
CLI      := $(filter-out %/main.c,$(wildcard src/cli/*.c))
PLATFORM := $(wildcard platform/*.c)
SIM      := $(filter-out %/main.c,$(wildcard sim/*.c))
STANDINS := $(notdir $(patsubst %/,%,$(wildcard standins/*/)))
TESTS    := $(patsubst tests/%.c,%,$(wildcard tests/test_*.c))
TEST_COMMON := $(filter-out tests/test_%,$(wildcard tests/*.c))

LIBRARY  := $(BUILD)/libcedarwinch.a
PROGRAMS := $(BUILD)/cedarwinchd $(if $(wildcard src/cli/main.c),$(BUILD)/cedarwinch) $(BUILD)/cw-lease \
            $(addprefix $(BUILD)/cw-,$(STANDINS))
TEST_PROGRAMS := $(addprefix $(BUILD)/tests/,$(TESTS))
PROCESS_TESTS := $(wildcard tests/process/*.sh)

.PHONY: all programs test check demo bench spec soak fault-soak stall-soak paths-soak owners-soak orders-soak answers-soak fuzz lint format install dependencies clean proto
.SECONDARY:
all: programs $(TEST_PROGRAMS)
programs: $(PROGRAMS)

$(BUILD)/proto/%.o: proto/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(CPPFLAGS) -std=gnu11 -w -c $< -o $@

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(CPPFLAGS) $(STRICT) -MMD -MP -c $< -o $@

$(LIBRARY): $(call objects,$(CORE))
	@rm -f $@
	$(AR) rcs $@ $^

$(BUILD)/cedarwinchd: $(call objects,$(ROUTER) src/router/main.c $(PLATFORM)) $(LIBRARY)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/cedarwinch: $(call objects,$(CLI) src/cli/main.c $(PLATFORM)) $(LIBRARY)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/cw-lease: $(call objects,$(SIM) sim/main.c) $(LIBRARY)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS)

define standin
$(BUILD)/cw-$(1): $(call objects,$(wildcard standins/$(1)/*.c)) $(LIBRARY)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $$@ $$^ $(LIBS)
endef
$(foreach name,$(STANDINS),$(eval $(call standin,$(name))))

# Tests may use everything but main files.
$(BUILD)/tests/%: $(BUILD)/tests/%.o $(call objects,$(TEST_COMMON) $(SIM) $(ROUTER) $(CLI) $(PLATFORM)) $(LIBRARY)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS) $$(pkg-config --libs check)

test: all
	@tests/run.sh $(TEST_PROGRAMS) $(PROCESS_TESTS)

check:
	@scripts/dependencies.sh check
	@$(MAKE) -s -j$$(nproc) all
	@$(MAKE) -s lint
	@$(MAKE) -s test

demo:
	@scripts/dependencies.sh
	@$(MAKE) -s -j$$(nproc) programs
	@scripts/demo.sh

# Bounds on counts: memory, calls to the store, connections, bytes between nodes. Over the stand-ins.
bench:
	@scripts/dependencies.sh bench
	@$(MAKE) -s -j4 programs
	@scripts/bench.sh

spec:
	@spec/check.sh

# Longer runs of the simulator: make soak SEEDS=n [FIRST=n]
SEEDS ?= 4000
FIRST ?= 1
soak: $(BUILD)/cw-lease
	$(BUILD)/cw-lease --seed $(FIRST) --seeds $(SEEDS) --quiet
	$(BUILD)/cw-lease --seed $(FIRST) --seeds $(SEEDS) --quiet --restores
	$(BUILD)/cw-lease --seed $(FIRST) --seeds $(SEEDS) --quiet --lists
	$(BUILD)/cw-lease --seed $(FIRST) --seeds $(SEEDS) --quiet --stops

# Real processes under faults: make fault-soak [SEED=n] [SEEDS=n] [ROUNDS=n] [NODES=n] [SERVERS=n], see tests/fault_soak/soak.sh
SEED ?= 1
fault-soak: programs
	@tests/fault_soak/many.sh $(SEED) $(if $(filter command line,$(origin SEEDS)),$(SEEDS),10)

# Nodes that stand still beside callers that leave and quick versions: make stall-soak [SEED=n] [SEEDS=n] [ROUNDS=n] [NODES=n]
stall-soak: programs
	@SOAK=stall_soak.sh tests/fault_soak/many.sh $(SEED) $(if $(filter command line,$(origin SEEDS)),$(SEEDS),10)

# Nodes that lose their paths to all servers beside restarts, leaving servers and versions: make paths-soak [SEED=n] [SEEDS=n]
paths-soak: programs
	@SOAK=paths_soak.sh tests/fault_soak/many.sh $(SEED) $(if $(filter command line,$(origin SEEDS)),$(SEEDS),10)

# Owners that change while lists lag, addresses are used again and leaders change in a row: make owners-soak [SEED=n] [SEEDS=n]
# [NODES=n] [SERVERS=n]
owners-soak: programs
	@SOAK=owners_soak.sh tests/fault_soak/many.sh $(SEED) $(if $(filter command line,$(origin SEEDS)),$(SEEDS),10)

# Servers that stand still or answer no orders, while leaders are lost and owners change: make orders-soak [SEED=n] [SEEDS=n]
# [NODES=n] [SERVERS=n] [LINKS=0|1]
orders-soak: programs
	@SOAK=orders_soak.sh tests/fault_soak/many.sh $(SEED) $(if $(filter command line,$(origin SEEDS)),$(SEEDS),10)

# Servers that answer twice, turn requests away or cut answers off, beside other troubles: make answers-soak [SEED=n] [SEEDS=n]
# [NODES=n] [SERVERS=n]
answers-soak: programs
	@SOAK=answers_soak.sh tests/fault_soak/many.sh $(SEED) $(if $(filter command line,$(origin SEEDS)),$(SEEDS),10)

SOURCES = $(shell git ls-files '*.c' '*.h' | grep -v -E '\.pb-c\.')
format:
	clang-format -i $(SOURCES)

lint:
	@clang-format --dry-run -Werror $(SOURCES)
	@scripts/includes.sh
	@scripts/lint.sh

proto:
	cd proto && protoc-c --c_out=. peer.proto

dependencies:
	@scripts/dependencies.sh

install: $(PROGRAMS)
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 $(DESTDIR)$(PREFIX)/share/man/man8 \
	    $(DESTDIR)$(PREFIX)/share/doc/cedarwinch
	install -m 755 $(BUILD)/cedarwinchd $(BUILD)/cedarwinch $(DESTDIR)$(PREFIX)/bin
	install -m 644 docs/man/cedarwinch.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 docs/man/cedarwinchd.8 $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 644 README.md LICENSE docs/*.md $(DESTDIR)$(PREFIX)/share/doc/cedarwinch

clean:
	rm -rf $(BUILD) target

-include fuzz/fuzz.mk
-include $(shell test -d $(BUILD) && find $(BUILD) -name '*.d')
