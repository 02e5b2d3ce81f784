# Entry points; the README names the two that matter.
BUILD ?= build
PACKAGES = cmake ninja-build g++ pkg-config clang-format clang-tidy python3 curl \
  libabsl-dev libgrpc++-dev libprotobuf-dev libmicrohttpd-dev libcurl4-openssl-dev \
  libboost-dev libboost-program-options-dev libboost-log-dev nlohmann-json3-dev libmsgpack-cxx-dev \
  libcriterion-dev librapidcheck-dev libssl-dev ccache

.PHONY: install build demo test lint format faults bench
install:
	@missing=$$(dpkg-query -W -f='$${Status} $${Package}\n' $(PACKAGES) 2>&1 | grep -v '^install ok installed' || true); \
	if [ -n "$$missing" ]; then apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES) > /dev/null; fi

build: install
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@ninja -C $(BUILD) | tail -1

demo: build
	@BUILD=$(BUILD) examples/demo.sh

test: build
	@python3 src/tests/system/deploy_build.py
	@python3 src/tests/unit.py $(BUILD)/unit_tests
	@python3 src/tests/system/run.py --build $(BUILD) --suite ci

faults: build
	@python3 src/tests/system/run.py --build $(BUILD) --suite all

bench: build
	@python3 src/bench/report.py --build $(BUILD) --out bench-report.html

SOURCES = $(shell git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v generated)
format:
	@clang-format -i $(SOURCES)

lint: build
	@clang-format --dry-run --Werror $(SOURCES)
	@echo $(filter %.cpp,$(SOURCES)) | tr ' ' '\n' | grep -v '^src/tests/' | xargs -P 6 -n 4 clang-tidy --quiet -p $(BUILD) 2> /dev/null
	@echo lint clean
