# Main targets: deps, build, demo, test, check, bench.
BUILD ?= build
PACKAGES = cmake ninja-build pkg-config gcc g++ curl openssl \
  libcivetweb-dev libzmq3-dev libyaml-dev libgtest-dev liburcu-dev \
  libglib2.0-dev libmsgpack-dev libcurl4-openssl-dev libjansson-dev \
  libpq-dev libxxhash-dev libsodium-dev libssl-dev

.PHONY: soak demo-platform all deps build demo test check bench bench-fleet explore fuzz sanitize slopes capacity replay experiments

SOURCES = $(wildcard packages/*/*.c platform/*.c bench/*.c tests/*.c tests/*/*.c)
FORMATTED = $(SOURCES) $(wildcard packages/*/*.h platform/*.h tests/*.h tests/*/*.h \
  tests/*/*.cc)
# Simplified loop macros of libraries that cppcheck cannot expand.
CPPCHECK_MACROS = \
  '-Djson_array_foreach(a,i,v)=for(i=0;i<json_array_size(a)&&(v=json_array_get(a,i));i++)' \
  '-Dcds_list_for_each_entry(p,h,m)=for((p)=(void*)(h);(p);)' \
  '-Dcds_list_for_each_entry_safe(p,t,h,m)=for((p)=(t)=(void*)(h);(p);)'
LINTERS = clang-format clang-tidy cppcheck

all: build

deps:
	@dpkg -s $(PACKAGES) > /dev/null 2>&1 || { apt-get update -q; \
	  apt-get install -y -q --no-install-recommends $(PACKAGES); }

build: deps
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) > /dev/null
	ninja -C $(BUILD)

demo: build
	BUILD=$(BUILD) bash tests/demo.sh

test: build
	ctest --test-dir $(BUILD) --output-on-failure

check: build
	@dpkg -s $(LINTERS) > /dev/null 2>&1 || \
	  apt-get install -y -q --no-install-recommends $(LINTERS)
	clang-format --dry-run --Werror $(FORMATTED)
	cppcheck $(CPPCHECK_MACROS) -q --error-exitcode=1 --inline-suppr \
	  --enable=warning,performance,portability --std=c11 -j 4 \
	  --suppress=missingInclude --suppress=missingIncludeSystem \
	  -Ipackages/core -Ipackages/adapters -Ipackages/proxy -Ipackages/ctl -Iplatform \
	  -Itests/fakes -Itests/soak $(SOURCES)
	echo $(SOURCES) | xargs -n 4 -P 6 clang-tidy -p $(BUILD) --quiet

bench-fleet: build
	BUILD=$(BUILD) DEPLOYMENT=$(or $(DEPLOYMENT),imena) bash bench/bench_fleet.sh

bench: build
	BUILD=$(BUILD) bash bench/bench.sh

# Runs libFuzzer with RUNS inputs for each parser.
RUNS ?= 40000
fuzz: deps
	@dpkg -s clang > /dev/null 2>&1 || \
	  apt-get install -y -q --no-install-recommends clang libclang-rt-14-dev
	RUNS=$(RUNS) bash tests/fuzz/run.sh

# Runs the tests under AddressSanitizer and ThreadSanitizer.  ThreadSanitizer runs
# only the tests with real processes, since those in virtual time have one thread.
sanitize: deps
	for s in address,undefined thread; do \
	  b=build-$${s%%,*}; \
	  cmake -S . -B $$b -G Ninja -DSANITIZE=$$s > /dev/null && ninja -C $$b \
	    || exit 1; \
	done
	build-address/tests/core-test
	build-address/tests/world-test
	build-address/tests/platform-test
	build-address/tests/pooler-test
	build-address/tests/fleet-test
	ASAN_OPTIONS=detect_leaks=0 build-address/tests/soak --seed 2 \
	  --seconds 20 --base 30000 --dir build-address/soak \
	  --program build-address/packages/proxy/cassiabayd
	SKIP_TLS=1 RATE=40 FLEET_BASE_E2E=23000 BUILD=build-address bash tests/e2e.sh
	G_SLICE=always-malloc TSAN_OPTIONS=suppressions=tests/tsan.supp SKIP_TLS=1 RATE=40 \
	  FLEET_BASE_E2E=24000 BUILD=build-thread bash tests/e2e.sh

# Runs the random fault schedules FIRST to FIRST+N-1 in virtual time.
FIRST ?= 1
N ?= 1000
explore: build
	$(BUILD)/tests/explore $(FIRST) $(N)

# Measures the cost of the code per VM, database and link into docs/slopes.txt.
# The figures of `make bench` and `make bench-fleet` are merged by the same rule:
# the latest value replaces earlier ones.
slopes: build
	$(BUILD)/bench/slopes > $(BUILD)/slopes.out
	bash bench/merge_slopes.sh $(BUILD)/slopes.out

capacity:
	awk -f bench/capacity.awk docs/slopes.txt > docs/CAPACITY.md

# Replays the one-hour traces of both workloads.
replay: build
	BUILD=$(BUILD) DEPLOYMENT=imena bash tests/replay.sh
	BUILD=$(BUILD) DEPLOYMENT=suva bash tests/replay.sh

# Compares the system with baselines that lack one design decision each; prints a
# table for DEPLOYMENT.
experiments: build
	BUILD=$(BUILD) DEPLOYMENT=$(or $(DEPLOYMENT),imena) bash bench/experiments.sh

# Soak test of real processes with fault injection.  Variables: SEED=7 or
# SEEDS=1-50, SECONDS_EACH, PROXIES.
SEEDS ?= $(or $(SEED),1-5)
soak: build
	BUILD=$(BUILD) SEEDS=$(SEEDS) SECONDS_EACH=$(or $(SECONDS_EACH),30) \
	  PROXIES=$(or $(PROXIES),4) bash tests/soak/run.sh

# Runs three proxies against a simulated platform.  Callers send statements, a
# primary stops answering, and the results are printed once per second.
demo-platform: build
	$(BUILD)/tests/soak --demo --proxies 3 --seconds 30 --dir $(BUILD)/demo \
	  --program $(BUILD)/packages/proxy/cassiabayd
