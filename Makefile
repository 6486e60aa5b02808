# The targets that README.md describes. Each installs the packages that it
# needs.

BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = cmake ninja-build g++ curl libace-dev libzmq3-dev cppzmq-dev \
  libprotobuf-dev protobuf-compiler libboost-dev libboost-test-dev \
  libcurl4-openssl-dev libmicrohttpd-dev libpopt-dev liblog4cxx-dev \
  libxxhash-dev nlohmann-json3-dev zlib1g-dev spin

.PHONY: compatibility leader-kills mutations install build demo test \
  fault-matrix model bench slopes lint format generate settings-page

install:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  (apt-get update -qq && DEBIAN_FRONTEND=noninteractive \
	   apt-get install -y -qq $(PACKAGES) >/dev/null)

build: install
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@ninja -C $(BUILD) -j $(JOBS) --quiet

demo: build
	@BIN=$(BUILD)/bin bash deploy/demo.sh

# Unit tests, fault matrices, model checks and process tests.
test: build
	@BUILD=$(BUILD) bash tests/run_all.sh

fault-matrix: build
	@$(BUILD)/ebony_tests --run_test='*fault_matrix*' --log_level=message

model: install
	@bash model/check.sh

bench: build
	@BIN=$(BUILD)/bin bash deploy/bench.sh

leader-kills: build
	@BIN=$(BUILD)/bin bash deploy/leader_kills.sh

mutations: install
	@bash tests/mutations/run.sh

# Compares this build with an earlier one: names, data, settings, processes.
compatibility: build
	@BUILD=$(BUILD) bash tests/compatibility/run.sh

slopes: build
	@$(BUILD)/bin/ebony_bench

lint:
	@bash .ci/lint.sh

format:
	@git ls-files '*.cc' '*.h' | grep -v generated | xargs clang-format -i

# Generates the committed code of the schema.
generate:
	@protoc --cpp_out=schema/generated schema/*.proto

settings-page: build
	@$(BUILD)/bin/ebony_settings_page > docs/SETTINGS.md
