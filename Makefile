# Build of sapphireshift; reads from top to bottom.
#   make             the programs, the library, the stand-ins
#   make test        all tests, from build/
#   make asan        all tests with the address and undefined sanitizers
#   make fuzz        fuzz targets with a fixed seed and a bounded count
#   make lint        formatter and linters
#   make install     PREFIX=/usr/local DESTDIR=

VERSION := $(shell sed -n 's/.*SS_VERSION "\(.*\)"/\1/p' \
	include/sapphireshift/base.h)
BUILD ?= build
PREFIX ?= /usr/local
SAN ?=
PKGS := libevent evhtp msgpack popt log4c glib-2.0 json-c libxxhash libzstd

CC ?= gcc
CXX ?= g++
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wpointer-arith
CPPFLAGS := -Iinclude -D_GNU_SOURCE \
	$(patsubst -I%,-isystem %,$(shell pkg-config --cflags $(PKGS)))
CFLAGS := -std=gnu11 -O2 -g -fPIC -fno-omit-frame-pointer $(WARN) $(SAN)
CXXFLAGS := -std=gnu++17 -O1 -g -Wall $(SAN)
LDLIBS := $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lm
LDFLAGS := $(SAN)

# The library: decisions and base, no sockets.
LIB_SRC := $(sort $(wildcard src/base/*.c src/core/*.c src/customer/*.c \
	src/disk/*.c))
# Everything that the daemon adds to it.
NET_SRC := $(sort $(wildcard src/net/*.c src/config/*.c src/node/*.c src/caller/*.c src/engine/*.c \
	src/service/*.c src/store/*.c src/vmlist/*.c src/operator/*.c \
	src/proxy/*.c platform/*.c))
DAEMON_SRC := $(sort $(wildcard src/daemon/*.c))
CTL_SRC := $(sort $(wildcard src/ctl/*.c))
STANDIN_SRC := $(sort $(wildcard src/standin/*.c))
BENCH_SRC := $(sort $(wildcard bench/*.c))

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))
LIB := $(BUILD)/libsapphireshift.a
SHLIB := $(BUILD)/libsapphireshift.so
PROGS := $(BUILD)/sapphireshiftd $(BUILD)/sapphireshiftctl \
	$(BUILD)/standin $(patsubst bench/%.c,$(BUILD)/bench-%,$(BENCH_SRC)) \
	$(BUILD)/example-embed
TESTS := $(patsubst test/test_%.c,$(BUILD)/test_%,$(wildcard test/test_*.c)) \
	$(patsubst test/prop_%.cc,$(BUILD)/prop_%,$(wildcard test/prop_*.cc))

.PHONY: all test tests asan fuzz lint format format-check install clean
# Kept, but not .SECONDARY: a source that was moved would not be built then.
.PRECIOUS: $(BUILD)/%.o
all: $(LIB) $(SHLIB) $(PROGS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(call obj,$(LIB_SRC))
	rm -f $@ && ar rcs $@ $^

$(SHLIB): $(call obj,$(LIB_SRC))
	$(CC) -shared $(LDFLAGS) -Wl,-soname,libsapphireshift.so.0 $^ -o $@ $(LDLIBS)

$(BUILD)/sapphireshiftd: $(call obj,$(DAEMON_SRC) $(NET_SRC)) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

$(BUILD)/sapphireshiftctl: $(call obj,$(CTL_SRC) src/net/http.c src/net/addr.c src/net/send.c) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

$(BUILD)/standin: $(call obj,$(STANDIN_SRC) src/net/http.c src/net/addr.c src/net/send.c) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

# The fleet's leader between played peers: of the network's files only those
# that nothing in the world stands for.
FLEET_WORLD := $(BUILD)/test/fleet_world.o $(call obj,$(sort \
	$(filter-out src/daemon/fleet_agent.c src/daemon/fleet_entry.c, \
	$(wildcard src/daemon/fleet_*.c))))
NETLIB := $(BUILD)/libnet.a
$(NETLIB): $(call obj,$(NET_SRC))
	rm -f $@ && ar rcs $@ $^
$(BUILD)/bench-fleet $(BUILD)/bench-streams: $(BUILD)/bench-%: $(BUILD)/bench/%.o $(FLEET_WORLD) $(NETLIB) $(LIB)
	$(CC) $(LDFLAGS) $(filter %.o,$^) $(NETLIB) $(LIB) -o $@ $(LDLIBS)
$(BUILD)/test_fleet_leader: $(BUILD)/test/test_fleet_leader.o $(FLEET_WORLD) \
		$(NETLIB) $(LIB)
	$(CC) $(LDFLAGS) $(filter %.o,$^) $(NETLIB) $(LIB) -o $@ $(LDLIBS) \
		-lcmocka

$(BUILD)/bench-quota $(BUILD)/test_quota: $(BUILD)/test/quota_world.o
$(BUILD)/bench-parts: $(BUILD)/test/parts_world.o
$(BUILD)/bench-%: $(BUILD)/bench/%.o $(call obj,$(NET_SRC)) $(LIB)
	$(CC) $(LDFLAGS) $(filter %.o,$^) $(LIB) -o $@ $(LDLIBS)

$(BUILD)/example-embed: $(BUILD)/docs/example/embed.o $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

$(BUILD)/test_%: $(BUILD)/test/test_%.o $(call obj,$(NET_SRC)) $(LIB)
	$(CC) $(LDFLAGS) $(filter %.o,$^) $(LIB) -o $@ $(LDLIBS) -lcmocka

$(filter $(BUILD)/test_gate%,$(TESTS)) $(BUILD)/test_endless: \
		$(BUILD)/test/gate_fix.o
$(BUILD)/test_gate_cut_head $(BUILD)/test_gate_broken_head: \
		$(BUILD)/test/agent_fix.o
$(BUILD)/test_explain: $(BUILD)/src/ctl/explain.o $(BUILD)/src/ctl/logline.o
$(BUILD)/test_spread: $(BUILD)/src/ctl/spread.o $(BUILD)/src/ctl/logline.o
$(BUILD)/test_summary: $(BUILD)/src/ctl/summary.o $(BUILD)/src/ctl/logline.o

$(BUILD)/prop_quota: $(BUILD)/test/quota_world.o $(BUILD)/src/node/frame.o
$(BUILD)/prop_parts: $(BUILD)/test/parts_world.o
$(BUILD)/prop_events: $(BUILD)/src/proxy/events.o
$(BUILD)/prop_%: test/prop_%.cc $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP $< $(filter %.o,$^) $(LIB) \
		-o $@ $(LDLIBS) -lrapidcheck

tests: $(TESTS)

test: all tests
	test/run.sh $(BUILD)

asan:
	$(MAKE) BUILD=build/asan SAN="-fsanitize=address,undefined -fno-sanitize-recover=undefined" test

# libFuzzer comes with clang; the objects are built apart for it.
FUZZ_SRC := test/fuzz/fuzz.c $(LIB_SRC) src/node/frame.c src/node/conn.c src/net/addr.c \
	src/config/config.c src/proxy/http1.c src/proxy/events.c \
	$(wildcard platform/*.c)
FUZZ_RUNS ?= 20000
$(BUILD)/fuzz: $(FUZZ_SRC)
	@mkdir -p $(@D)
	clang $(CPPFLAGS) -std=gnu11 -O1 -g -fsanitize=fuzzer,address,undefined \
		-fno-sanitize-recover=undefined $^ -o $@ $(LDLIBS)

fuzz: $(BUILD)/fuzz
	$(BUILD)/fuzz -seed=20261202 -runs=$(FUZZ_RUNS) -max_len=4096 \
		-detect_leaks=1 -print_final_stats=1 \
		-artifact_prefix=$(BUILD)/

FORMATTED := $(shell git ls-files '*.c' '*.h')
format:
	clang-format -i $(FORMATTED)

format-check:
	clang-format --dry-run -Werror $(FORMATTED)

TIDIED := $(LIB_SRC) $(NET_SRC) $(DAEMON_SRC) $(CTL_SRC)
JOBS ?= $(shell nproc)
lint:
	printf '%s\n' $(TIDIED) | xargs -P $(JOBS) -n 4 \
		sh -c 'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu11' _

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
		$(DESTDIR)$(PREFIX)/include/sapphireshift \
		$(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man8
	install $(BUILD)/sapphireshiftd $(BUILD)/sapphireshiftctl \
		$(DESTDIR)$(PREFIX)/bin
	install -m 644 include/sapphireshift/*.h \
		$(DESTDIR)$(PREFIX)/include/sapphireshift
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 755 $(SHLIB) $(DESTDIR)$(PREFIX)/lib/libsapphireshift.so.0
	ln -sf libsapphireshift.so.0 $(DESTDIR)$(PREFIX)/lib/libsapphireshift.so
	sed 's|@PREFIX@|$(PREFIX)|; s|@VERSION@|$(VERSION)|' \
		sapphireshift.pc.in \
		>$(DESTDIR)$(PREFIX)/lib/pkgconfig/sapphireshift.pc
	install -m 644 man/sapphireshiftctl.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/sapphireshiftd.8 $(DESTDIR)$(PREFIX)/share/man/man8

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
