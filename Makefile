# One word each: make deps, demo, test, check, bench.
BUILD ?= build
PACKAGES = cmake ninja-build pkg-config gcc g++ curl \
  libcivetweb-dev libzmq3-dev libyaml-dev libgtest-dev liburcu-dev \
  libglib2.0-dev libmsgpack-dev libcurl4-openssl-dev libjansson-dev \
  libpq-dev libxxhash-dev libsodium-dev libssl-dev

.PHONY: all deps build demo test check bench explore

SOURCES = $(wildcard packages/*/*.c tests/*/*.c)
FORMATTED = $(SOURCES) $(wildcard packages/*/*.h tests/*/*.h tests/*/*.cc)
# Loop macros of libraries, simplified for cppcheck.
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
	  -Ipackages/core -Ipackages/adapters -Ipackages/proxy -Ipackages/ctl \
	  -Itests/fakes $(SOURCES)
	echo $(SOURCES) | xargs -n 4 -P 6 clang-tidy -p $(BUILD) --quiet

bench: build
	BUILD=$(BUILD) bash tests/bench.sh

# Fault schedules FIRST .. FIRST+N-1 on virtual time.
FIRST ?= 1
N ?= 1000
explore: build
	$(BUILD)/tests/explore $(FIRST) $(N)
